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
 * An in-process key-value service, which [serveKeyValue] exposes over HTTP. Leases expire by `clock`. Faults can be changed
 * at run time:
 *
 * ```kotlin
 * val service = KeyValueStandin()
 * service.loseWriteResponses(1)        // the next write takes effect, but its caller gets an error
 * service.outage = Outage.REFUSED      // until it is set back to Outage.NONE
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
    private val totalWatches = AtomicLong()
    private val responsesToLose = AtomicInteger()
    private val outageListeners = mutableListOf<(Outage) -> Unit>()
    private val reportExecutor =
        ScheduledThreadPoolExecutor(1) { task -> Thread(task, "key-value stand-in").apply { isDaemon = true } }

    /** Delays each call before it takes effect, to simulate an overloaded service. */
    @Volatile
    public var callDelayMillis: Long = 0

    /** While true, open watches report nothing, not even progress notifications, but their connections stay open. */
    @Volatile
    public var watchesStalled: Boolean = false

    @Volatile
    public var outage: Outage = Outage.NONE
        set(value) {
            field = value
            if (value != Outage.NONE) watchers.breakAll("the service is down")
            outageListeners.forEach { it(value) }
        }

    public val counts: KeyValueCounts
        get() = KeyValueCounts(reads.get(), writes.get(), leaseCalls.get(), totalWatches.get(), watchers.count)

    init {
        reportExecutor.scheduleWithFixedDelay(::expireAndReport, REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Makes the next [count] writes take effect without a response to their callers. */
    public fun loseWriteResponses(count: Int): Unit = responsesToLose.set(count)

    /** Expires a lease as if its holder had not renewed it. */
    public fun expireLease(leaseId: Long) {
        locked { endLease(leaseId) }
        scheduleReport()
    }

    /** Expires the leases whose time to live has passed. This also happens every [REPORT_INTERVAL_MILLIS]. */
    public fun expireLeases() {
        if (locked { expireLeases() }) scheduleReport()
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
        compareAndApply("key-value swap", key, expectedRevision, KeyValueOperation.Put(key, value, leaseId)) { revision ->
            KeyValue(key, value, revision)
        }

    override fun swapWhileAbsent(
        key: String,
        expectedRevision: Long,
        value: String,
        absentKey: String,
    ): Result<SwapAnswer, StepError> =
        compareAndApply("key-value swap", key, expectedRevision, KeyValueOperation.Put(key, value, null), absentKey) { revision ->
            KeyValue(key, value, revision)
        }

    override fun delete(
        key: String,
        expectedRevision: Long,
    ): Result<SwapAnswer, StepError> =
        compareAndApply("key-value delete", key, expectedRevision, KeyValueOperation.Delete(KeyRange(key, null))) { null }

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
        val watch = InProcessWatch(idleLimitMillis, onBatch) { reason -> onEnd(StepError("key-value watch", PEER, reason)) }
        val watcher = Watcher(KeyRange.prefix(prefix), afterRevision + 1, watch)
        watch.startOn(reportExecutor) { watchers.remove(watcher) }
        openWatch(watcher)
        return watch
    }

    override fun close() {
        watchers.breakAll("the service was closed")
        reportExecutor.shutdownNow()
    }

    /** Opens a watch. During an outage the watch is closed with an error at once. */
    internal fun openWatch(watcher: Watcher) {
        totalWatches.incrementAndGet()
        watchers.add(watcher)
        if (outage == Outage.NONE) scheduleReport() else reportExecutor.execute { watchers.breakAll("the service is down") }
    }

    internal fun closeWatch(watcher: Watcher): Unit = watchers.remove(watcher)

    internal fun addOutageListener(listener: (Outage) -> Unit) {
        outageListeners.add(listener)
    }

    /** Counts the call and runs [action] on the store with the current faults applied. A write may lose its response. */
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

    private fun compareAndApply(
        step: String,
        key: String,
        expectedRevision: Long,
        operation: KeyValueOperation,
        absentKey: String? = null,
        valueAfterWrite: (Long) -> KeyValue?,
    ): Result<SwapAnswer, StepError> =
        call(step, writes, isWrite = true) {
            transact(
                listOf(key to expectedRevision) +
                    listOfNotNull(absentKey).map {
                        it to 0L
                    },
                listOf(operation),
                listOf(KeyValueOperation.Read(KeyRange(key, null))),
            )
        }.map { answer ->
            val current =
                if (answer.succeeded) {
                    valueAfterWrite(answer.revision)
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
        if (callDelayMillis > 0) Thread.sleep(callDelayMillis)
        if (outage != Outage.NONE) return Err(StepError(step, PEER, "the service is down"))
        val result =
            try {
                locked(action)
            } catch (e: IllegalArgumentException) {
                return Err(StepError(step, PEER, e.message.orEmpty()))
            }
        if (isWrite) scheduleReport()
        if (isWrite && responsesToLose.getAndUpdate { maxOf(0, it - 1) } > 0) return Err(StepError(step, PEER, LOST_RESPONSE_MESSAGE))
        return Ok(result)
    }

    private fun <T> locked(action: KeyValueStore.() -> T): T =
        synchronized(store) {
            store.expireLeases()
            store.action()
        }

    private fun expireAndReport() {
        expireLeases()
        reportToWatches()
    }

    private fun scheduleReport() {
        if (!reportExecutor.isShutdown) reportExecutor.execute(::reportToWatches)
    }

    private fun reportToWatches() {
        if (watchesStalled || outage != Outage.NONE) return
        watchers.reportToAll(settings.progressIntervalMillis) { watcher -> synchronized(store) { store.updateFor(watcher) } }
    }

    private fun KeyValueStore.updateFor(watcher: Watcher): WatchUpdate =
        WatchUpdate(
            changes = changesFrom(watcher.nextRevision, watcher.range),
            revision = maxOf(revision, watcher.nextRevision - 1),
            compactedBelow = firstWatchableRevision.takeIf { watcher.nextRevision < it },
        )

    internal companion object {
        const val REPORT_INTERVAL_MILLIS = 20L
        const val PEER = "key-value stand-in"
        const val LOST_RESPONSE_MESSAGE = "the connection broke before the answer"
    }
}

/** The counter of [KeyValueCounts] that a call increments. */
internal enum class KeyValueCounter { READ, WRITE, LEASE }
