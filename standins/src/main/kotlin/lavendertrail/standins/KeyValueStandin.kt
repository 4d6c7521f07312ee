package lavendertrail.standins

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.SwapAnswer
import lavendertrail.ports.WatchBatch
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * The platform's key-value service in process, and the state behind [serveKeyValue]. Leases run by [clock]. Faults are
 * switched at run time:
 *
 * ```kotlin
 * val service = KeyValueStandin()
 * service.loseAnswers(1)               // the next write takes effect, its caller gets an error
 * service.outage = Outage.REFUSED      // until set back to Outage.NONE
 * ```
 */
public class KeyValueStandin(
    private val settings: KeyValueSettings = KeyValueSettings(),
    clock: () -> Long = System::currentTimeMillis,
) : KeyValueService {
    private val store = KeyValueStore(settings, clock)
    private val watchers = KeyValueWatchers()
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val leaseCalls = AtomicLong()
    private val watchesOpened = AtomicLong()
    private val answersToLose = AtomicInteger()
    private val outageListeners = mutableListOf<(Outage) -> Unit>()
    private val reporter =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "key-value stand-in").apply { isDaemon = true } }

    /** Delay before each call takes effect, as of an overloaded service. */
    @Volatile
    public var slowMillis: Long = 0

    /** While true, open watches report nothing, progress notes included, and their connections stay open. */
    @Volatile
    public var watchesSilent: Boolean = false

    @Volatile
    public var outage: Outage = Outage.NONE
        set(value) {
            field = value
            if (value != Outage.NONE) watchers.breakAll("the service is down")
            outageListeners.forEach { it(value) }
        }

    public val counts: KeyValueCounts
        get() = KeyValueCounts(reads.get(), writes.get(), leaseCalls.get(), watchesOpened.get(), watchers.count)

    init {
        reporter.scheduleWithFixedDelay(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** The next [count] writes take effect, but their callers get no answer. */
    public fun loseAnswers(count: Int): Unit = answersToLose.set(count)

    /** Ends a lease as if its holder had not renewed it. */
    public fun lapseLease(leaseId: Long) {
        locked { endLease(leaseId) }
        reportSoon()
    }

    /** Ends leases that have lapsed by the clock; done every [TICK_MILLIS] anyway. */
    public fun expireLeases() {
        if (locked { expireLeases() }) reportSoon()
    }

    override fun range(prefix: String): Result<KeyValueSnapshot, StepError> =
        call("key-value range", reads) { KeyValueSnapshot(read(KeyRange.prefix(prefix)), revision) }

    override fun get(key: String): Result<KeyValue?, StepError> = call("key-value get", reads) { read(KeyRange(key, null)).firstOrNull() }

    override fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
        leaseId: Long?,
    ): Result<SwapAnswer, StepError> =
        compareAnd("key-value swap", key, expectedRevision, KeyValueOperation.Put(key, value, leaseId)) { revision ->
            KeyValue(key, value, revision)
        }

    override fun delete(
        key: String,
        expectedRevision: Long,
    ): Result<SwapAnswer, StepError> =
        compareAnd("key-value delete", key, expectedRevision, KeyValueOperation.Delete(KeyRange(key, null))) { null }

    override fun grantLease(ttlMillis: Long): Result<Long, StepError> =
        call("lease grant", leaseCalls, isWrite = true) { grantLease((ttlMillis + 999) / 1_000 * 1_000) }

    override fun keepAlive(leaseId: Long): Result<Boolean, StepError> = call("lease keep-alive", leaseCalls) { keepAlive(leaseId) > 0 }

    override fun revokeLease(leaseId: Long): Result<Unit, StepError> =
        call("lease revoke", leaseCalls, isWrite = true) { endLease(leaseId) }

    override fun watch(
        prefix: String,
        afterRevision: Long,
        idleLimitMillis: Long,
        onBatch: (WatchBatch) -> Unit,
        onEnd: (StepError) -> Unit,
    ): AutoCloseable {
        val watch = LocalWatch(idleLimitMillis, onBatch) { reason -> onEnd(StepError("key-value watch", PEER, reason)) }
        val watcher = Watcher(KeyRange.prefix(prefix), afterRevision + 1, watch)
        watch.startOn(reporter) { watchers.remove(watcher) }
        open(watcher)
        return watch
    }

    override fun close() {
        watchers.breakAll("the service was closed")
        reporter.shutdownNow()
    }

    /** Opens a watch; during an outage it is broken at once. */
    internal fun open(watcher: Watcher) {
        watchesOpened.incrementAndGet()
        watchers.add(watcher)
        if (outage == Outage.NONE) reportSoon() else reporter.execute { watchers.breakAll("the service is down") }
    }

    internal fun closeWatch(watcher: Watcher): Unit = watchers.remove(watcher)

    internal fun onOutage(listener: (Outage) -> Unit) {
        outageListeners.add(listener)
    }

    /** Runs [action] on the store with this call's faults applied. [isWrite] makes it subject to lost answers. */
    internal fun <T> call(
        step: String,
        counter: KeyValueCounter,
        isWrite: Boolean,
        action: KeyValueStore.() -> T,
    ): Result<T, StepError> =
        call(
            step,
            if (counter ==
                KeyValueCounter.READ
            ) {
                reads
            } else if (counter == KeyValueCounter.WRITE) {
                writes
            } else {
                leaseCalls
            },
            isWrite,
            action,
        )

    private fun compareAnd(
        step: String,
        key: String,
        expectedRevision: Long,
        operation: KeyValueOperation,
        written: (Long) -> KeyValue?,
    ): Result<SwapAnswer, StepError> =
        call(step, writes, isWrite = true) {
            transact(listOf(key to expectedRevision), listOf(operation), listOf(KeyValueOperation.Read(KeyRange(key, null))))
        }.map { answer ->
            val current =
                if (answer.succeeded) {
                    written(answer.revision)
                } else {
                    answer.answers
                        .single()
                        .found
                        .firstOrNull()
                }
            SwapAnswer(answer.succeeded, current)
        }

    private fun <T> call(
        step: String,
        counter: AtomicLong,
        isWrite: Boolean = false,
        action: KeyValueStore.() -> T,
    ): Result<T, StepError> {
        counter.incrementAndGet()
        if (slowMillis > 0) Thread.sleep(slowMillis)
        if (outage != Outage.NONE) return Err(StepError(step, PEER, "the service is down"))
        val result =
            try {
                locked(action)
            } catch (e: IllegalArgumentException) {
                return Err(StepError(step, PEER, e.message.orEmpty()))
            }
        if (isWrite) reportSoon()
        if (isWrite && answersToLose.getAndUpdate { maxOf(0, it - 1) } > 0) return Err(StepError(step, PEER, LOST_ANSWER))
        return Ok(result)
    }

    private fun <T> locked(action: KeyValueStore.() -> T): T =
        synchronized(store) {
            store.expireLeases()
            store.action()
        }

    private fun tick() {
        expireLeases()
        report()
    }

    private fun reportSoon() {
        if (!reporter.isShutdown) reporter.execute(::report)
    }

    private fun report() {
        if (watchesSilent || outage != Outage.NONE) return
        watchers.deliver(settings.progressMillis) { watcher -> synchronized(store) { store.newsFor(watcher) } }
    }

    private fun KeyValueStore.newsFor(watcher: Watcher): WatchNews =
        WatchNews(
            changes = changesFrom(watcher.next, watcher.range),
            revision = maxOf(revision, watcher.next - 1),
            compactedBelow = firstWatchable.takeIf { watcher.next < it },
        )

    internal companion object {
        const val TICK_MILLIS = 20L
        const val PEER = "key-value stand-in"
        const val LOST_ANSWER = "the connection broke before the answer"
    }
}

/** Which of [KeyValueCounts] a call adds to. */
internal enum class KeyValueCounter { READ, WRITE, LEASE }
