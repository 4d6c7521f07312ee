package lavendertrail.gateway

import com.github.michaelbull.result.fold
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
 * of the list. When a watch ends, all entries are listed again, so that no change in between is missed.
 *
 * With [pauseMillis], the watcher waits after each batch of changes, so that the next call returns the changes of that time together.
 */
public class StoreWatcher(
    private val service: KeyValueService,
    private val log: StructuredLog,
    private val listener: StoreListener,
    private val pauseMillis: Long = 0,
) : AutoCloseable {
    @Volatile
    private var isClosed = false
    private var isReachable: Boolean? = null

    public fun start() {
        thread(name = "store-feed", isDaemon = true) { watchLoop() }
    }

    private fun watchLoop() {
        while (!isClosed) {
            try {
                service.range("").fold(::watchFrom, ::handleListFailure)
            } catch (e: Throwable) {
                // Whatever a single entry causes, the process must go on following the store.
                log.error("store feed failed", e)
                Thread.sleep(RETRY_MILLIS)
            }
        }
    }

    private fun watchFrom(snapshot: KeyValueSnapshot) {
        updateReachability(true, null)
        listener.onSnapshot(snapshot)
        val watchEnded = CountDownLatch(1)
        val watch =
            service.watch("", snapshot.revision, WATCH_IDLE_TIMEOUT_MILLIS, ::handleBatch) { error ->
                log.warn("store watch ended", error)
                watchEnded.countDown()
            }
        watch.use { watchEnded.await() }
    }

    /** Called on a thread of the watch, which makes its next call afterwards. */
    private fun handleBatch(batch: WatchBatch) {
        listener.onBatch(batch)
        if (pauseMillis > 0) Thread.sleep(pauseMillis)
    }

    private fun handleListFailure(error: StepError) {
        log.warn("store list failed", error)
        updateReachability(false, error)
        Thread.sleep(RETRY_MILLIS)
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

        /** A watch that receives nothing for this long is closed and reopened. */
        const val WATCH_IDLE_TIMEOUT_MILLIS = 20_000L
    }
}

/** Callbacks of a [StoreWatcher], called on its threads. A snapshot replaces all entries known so far. */
public class StoreListener(
    public val onSnapshot: (KeyValueSnapshot) -> Unit,
    public val onBatch: (WatchBatch) -> Unit,
    public val onReachable: (Boolean) -> Unit,
) {
    /** A listener that calls [action] after each snapshot and each batch. */
    internal fun andThen(action: () -> Unit): StoreListener =
        StoreListener({
            onSnapshot(it)
            action()
        }, {
            onBatch(it)
            action()
        }, onReachable)
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

private const val WATCH_PAUSE_DIVISOR = 4
