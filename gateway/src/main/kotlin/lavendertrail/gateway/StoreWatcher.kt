package lavendertrail.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import kotlinx.serialization.json.put
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.WatchBatch
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/**
 * Reports all entries of the platform's key-value store and their changes: lists the entries, then watches from the revision
 * of the list. A watch that ends is opened again from the last revision that it reported, on a new connection. If the new watch
 * reports nothing either, all entries are listed again, so that no change in between is missed.
 *
 * With [pauseMillis], the watcher waits after each batch of changes, so that the next call returns the changes of that time together.
 * A service that has reported nothing for longer than [waitMillis] counts as silent.
 *
 * Until the first list, a list with a longer limit runs beside those that fail, so that a process that starts while the service is
 * slow gets its entries late instead of never. It may be old, so it doesn't count as heard.
 */
public class StoreWatcher(
    private val service: KeyValueService,
    private val log: StructuredLog,
    private val listener: StoreListener,
    private val pauseMillis: Long = 0,
    private val waitMillis: Long = DEFAULT_WAIT_MILLIS,
) : AutoCloseable {
    @Volatile
    private var isClosed = false
    private var isReachable: Boolean? = null
    private val slowList = BackgroundCall("store-slow-list") { service.rangeOfSlowService("") }

    /** The revision up to which the listener knows all changes; null if the entries must be listed. */
    @Volatile
    private var revision: Long? = null

    /** The newest revision that the service has reported; no older list replaces what is known. */
    @Volatile
    private var newestRevision = 0L

    @Volatile
    private var heardAtMillis = nowMillis()

    /** The last call to the service, which its next report answers, began at this time or later. */
    @Volatile
    private var askedAtMillis = 0L

    /** The revision of the newest page of the last list. */
    @Volatile
    private var listedUpToRevision = 0L

    /** Changes that the current watch has reported up to a revision before [listedUpToRevision]. */
    private var heldBatch: WatchBatch? = null

    /** Whether the current watch has reported anything. */
    @Volatile
    private var hasWatchReported = false

    public fun start() {
        thread(name = "store-feed", isDaemon = true) { watchLoop() }
    }

    private fun watchLoop() {
        while (!isClosed) {
            try {
                val known = revision
                if (known == null) list() else watchFrom(known)
            } catch (e: Throwable) {
                // Whatever a single entry causes, the process must go on following the store.
                log.error("store feed failed", e)
                revision = null
                Thread.sleep(RETRY_MILLIS)
            }
        }
    }

    private fun list() {
        askedAtMillis = nowMillis()
        service.range("").fold(::handleList, ::handleListFailure)
    }

    private fun handleList(snapshot: KeyValueSnapshot) {
        if (!acceptList(snapshot)) return
        recordReport(snapshot.revision)
    }

    private fun handleSlowList(snapshot: KeyValueSnapshot) {
        log.event("slow store list used") { put("revision", snapshot.revision) }
        if (acceptList(snapshot)) recordRevision(snapshot.revision)
    }

    /** Passes the list on; returns false for one that is older than what is known. */
    private fun acceptList(snapshot: KeyValueSnapshot): Boolean {
        if (snapshot.revision < newestRevision) {
            log.warn("store list left out", StepError("list", "store", "revision ${snapshot.revision} after $newestRevision"))
            Thread.sleep(RETRY_MILLIS)
            return false
        }
        updateReachability(true, null)
        listener.onSnapshot(snapshot)
        listedUpToRevision = snapshot.readUpToRevision
        return true
    }

    private fun watchFrom(known: Long) {
        val openedAtMillis = nowMillis()
        askedAtMillis = openedAtMillis
        hasWatchReported = false
        heldBatch = null
        val watchEnded = CountDownLatch(1)
        val watch =
            service.watch("", known, waitMillis, ::handleBatch) { error ->
                logEnd(error)
                watchEnded.countDown()
            }
        watch.use { watchEnded.await() }
        if (!hasWatchReported) revision = null
        listener.onWatchEnded()
        val openMillis = nowMillis() - openedAtMillis
        if (openMillis < RETRY_MILLIS) Thread.sleep(RETRY_MILLIS - openMillis)
    }

    /** Called on a thread of the watch, which makes its next call afterwards. */
    private fun handleBatch(reported: WatchBatch) {
        val batch = heldBatch?.followedBy(reported) ?: reported
        // Some of the listed entries may be newer than these changes, or removed since.
        val isOlderThanList = batch.revision < listedUpToRevision && !reported.isProgress
        heldBatch = batch.takeIf { isOlderThanList }
        if (!isOlderThanList) {
            listener.onBatch(batch)
            recordReport(batch.revision)
            if (pauseMillis > 0 && !reported.isProgress) Thread.sleep(pauseMillis)
        }
        hasWatchReported = true
        askedAtMillis = nowMillis()
    }

    private fun recordReport(reportedRevision: Long) {
        recordRevision(reportedRevision)
        heardAtMillis = nowMillis()
        listener.onHeard(askedAtMillis)
    }

    private fun recordRevision(reportedRevision: Long) {
        revision = reportedRevision
        newestRevision = maxOf(newestRevision, reportedRevision)
    }

    private fun logEnd(error: StepError) {
        log.warn("store watch ended", error) {
            put("revision", revision)
            put("silentMillis", nowMillis() - heardAtMillis)
        }
    }

    private fun handleListFailure(error: StepError) {
        log.warn("store list failed", error) { put("silentMillis", nowMillis() - heardAtMillis) }
        updateReachability(false, error)
        val slow = if (newestRevision > 0) null else slowList.takeOrStart()
        slow?.onFailure { log.warn("slow store list failed", it) }
        slow?.get()?.let(::handleSlowList) ?: Thread.sleep(RETRY_MILLIS)
    }

    private fun updateReachability(
        reachable: Boolean,
        error: StepError?,
    ) {
        if (isReachable == reachable) return
        isReachable = reachable
        log.event(if (reachable) "store reached" else "store lost") { error?.let { put("error", it.toString()) } }
        listener.onReachable(reachable)
    }

    override fun close() {
        isClosed = true
    }

    private companion object {
        /** Limits the load to five calls per second and process while the store is unavailable. */
        const val RETRY_MILLIS = 200L

        /** For watchers without a bound on the age of what they know. */
        const val DEFAULT_WAIT_MILLIS = 20_000L
    }
}

/**
 * Callbacks of a [StoreWatcher], called on its threads. A snapshot replaces all entries known so far. `onHeard` is called after each
 * report of the store, with or without a change, once its changes have been passed on, with a time before which the store wasn't asked
 * for the report; `onWatchEnded` after each watch.
 */
public class StoreListener(
    public val onSnapshot: (KeyValueSnapshot) -> Unit,
    public val onBatch: (WatchBatch) -> Unit,
    public val onReachable: (Boolean) -> Unit,
    public val onHeard: (askedAtMillis: Long) -> Unit = {},
    public val onWatchEnded: () -> Unit = {},
) {
    /** A listener that also calls [action] after each report. */
    internal fun onHeard(action: (askedAtMillis: Long) -> Unit): StoreListener =
        StoreListener(onSnapshot, onBatch, onReachable, {
            onHeard(it)
            action(it)
        }, onWatchEnded)

    /** A listener that calls [action] after each snapshot and each batch. */
    internal fun andThen(action: () -> Unit): StoreListener =
        StoreListener({
            onSnapshot(it)
            action()
        }, {
            onBatch(it)
            action()
        }, onReachable, onHeard, onWatchEnded)
}

/** The changes of this batch and then those of [next] as one batch. */
private fun WatchBatch.followedBy(next: WatchBatch): WatchBatch {
    val changedNext = next.changed.mapTo(mutableSetOf()) { it.key }
    val replaced = changedNext + next.deletedKeys
    return WatchBatch(
        changed = changed.filter { it.key !in replaced } + next.changed,
        deletedKeys = deletedKeys.filter { it !in changedNext } + next.deletedKeys,
        revision = next.revision,
    )
}

/** Returns the entry with [key], or null if the snapshot doesn't contain it. */
public fun KeyValueSnapshot.entry(key: String): KeyValue? = entries.firstOrNull { it.key == key }

/**
 * The pause of a watch between batches of changes. Servers renew their entries about once a second, so with many servers every
 * call returns at once, and the number of calls grows with the number of hosts. The pause uses a quarter of the time within which
 * a configuration must be in force, or a server that leaves must receive no new requests.
 */
public fun storeWatchPauseMillis(
    configBoundMillis: Long,
    drainBoundMillis: Long,
): Long = minOf(configBoundMillis, drainBoundMillis) / WATCH_PAUSE_DIVISOR

/**
 * How long a watch may report nothing, the pause included: the call after a pause waits shorter than one after a call without changes.
 * A connection may go silent without a reset, which only the end of the wait shows, and the time from a change until it is known must
 * stay within both bounds. The last quarter of the shorter bound is for the answer that doesn't come, and for the call on a new
 * connection.
 */
public fun storeWatchWaitMillis(
    configBoundMillis: Long,
    drainBoundMillis: Long,
): Long = minOf(configBoundMillis, drainBoundMillis) * WATCH_SILENCE_QUARTERS / WATCH_PAUSE_DIVISOR

private const val WATCH_PAUSE_DIVISOR = 4
private const val WATCH_SILENCE_QUARTERS = 3
