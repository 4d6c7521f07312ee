package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.StepError

/**
 * The platform's key-value service. Revisions grow with every write of the service. A call that fails with an error
 * may still have taken effect; callers settle that by reading back.
 */
public interface KeyValueService : AutoCloseable {
    public fun range(prefix: String): Result<KeyValueSnapshot, StepError>

    public fun get(key: String): Result<KeyValue?, StepError>

    /** Writes [value] where the key's revision is [expectedRevision]; 0 stands for "no such key". */
    public fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
        leaseId: Long? = null,
    ): Result<SwapAnswer, StepError>

    public fun delete(
        key: String,
        expectedRevision: Long,
    ): Result<SwapAnswer, StepError>

    public fun grantLease(ttlMillis: Long): Result<Long, StepError>

    /** False where the lease has lapsed. */
    public fun keepAlive(leaseId: Long): Result<Boolean, StepError>

    public fun revokeLease(leaseId: Long): Result<Unit, StepError>

    /**
     * Reports all changes under [prefix] after [afterRevision], until closed. [onEnd] is called once when the watch
     * ends for any reason but being closed; a watch without events and progress notes for [idleLimitMillis] ends too.
     */
    public fun watch(
        prefix: String,
        afterRevision: Long,
        idleLimitMillis: Long,
        onBatch: (WatchBatch) -> Unit,
        onEnd: (StepError) -> Unit,
    ): AutoCloseable
}

public data class KeyValue(
    public val key: String,
    public val value: String,
    public val revision: Long,
)

public data class KeyValueSnapshot(
    public val entries: List<KeyValue>,
    public val revision: Long,
)

/** [current] is what stands under the key after the call; null where the key doesn't exist. */
public data class SwapAnswer(
    public val won: Boolean,
    public val current: KeyValue?,
)

public data class WatchBatch(
    public val changed: List<KeyValue>,
    public val deletedKeys: List<String>,
    public val revision: Long,
)
