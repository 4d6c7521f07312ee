package lavendertrail.node

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.SwapAnswer
import lavendertrail.ports.WatchBatch
import lavendertrail.reducer.Event
import lavendertrail.reducer.ServiceReachability
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.LongAdder

/** Counts the calls to the key-value service by kind and emits [ServiceReachability] when it changes. */
internal class MeteredKeyValueService(
    private val service: KeyValueService,
    private val emit: (Event) -> Unit,
) : KeyValueService {
    private val counts = ConcurrentHashMap<String, LongAdder>()
    private val reachable = AtomicBoolean(true)

    /** Calls by kind since the start. */
    fun counts(): Map<String, Long> = counts.mapValues { it.value.sum() }

    override fun range(prefix: String): Result<KeyValueSnapshot, StepError> = metered("range") { service.range(prefix) }

    override fun get(key: String): Result<KeyValue?, StepError> = metered("get") { service.get(key) }

    override fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
        leaseId: Long?,
    ): Result<SwapAnswer, StepError> = metered("swap") { service.swap(key, expectedRevision, value, leaseId) }

    override fun swapWhileAbsent(
        key: String,
        expectedRevision: Long,
        value: String,
        absentKey: String,
    ): Result<SwapAnswer, StepError> = metered("swap") { service.swapWhileAbsent(key, expectedRevision, value, absentKey) }

    override fun delete(
        key: String,
        expectedRevision: Long,
    ): Result<SwapAnswer, StepError> = metered("delete") { service.delete(key, expectedRevision) }

    override fun grantLease(ttlMillis: Long): Result<Long, StepError> = metered("grantLease") { service.grantLease(ttlMillis) }

    override fun keepAlive(leaseId: Long): Result<Boolean, StepError> = metered("keepAlive") { service.keepAlive(leaseId) }

    override fun revokeLease(leaseId: Long): Result<Unit, StepError> = metered("revokeLease") { service.revokeLease(leaseId) }

    override fun watch(
        prefix: String,
        afterRevision: Long,
        idleLimitMillis: Long,
        onBatch: (WatchBatch) -> Unit,
        onEnd: (StepError) -> Unit,
    ): AutoCloseable {
        count("watch")
        return service.watch(prefix, afterRevision, idleLimitMillis, onBatch, onEnd)
    }

    override fun close(): Unit = service.close()

    private fun count(kind: String): Unit = counts.computeIfAbsent(kind) { LongAdder() }.increment()

    private fun <T> metered(
        kind: String,
        call: () -> Result<T, StepError>,
    ): Result<T, StepError> {
        count(kind)
        return call().onSuccess { reportReachability(isReachable = true, null) }.onFailure { reportReachability(isReachable = false, it) }
    }

    private fun reportReachability(
        isReachable: Boolean,
        error: StepError?,
    ) {
        if (!reachable.compareAndSet(!isReachable, isReachable)) return
        Logger.info(if (isReachable) "service: reachable again" else "service: not reachable: $error")
        emit(ServiceReachability(isReachable))
    }
}
