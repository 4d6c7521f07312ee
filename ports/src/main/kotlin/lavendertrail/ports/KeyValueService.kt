package lavendertrail.ports

import com.github.michaelbull.result.Result
import lavendertrail.model.StepError

/**
 * The platform's key-value service. The revision increases with every write to the service, whatever the key. A call that
 * returns an error may still have taken effect; the user of this interface must read the key again to find out.
 */
public interface KeyValueService : AutoCloseable {
    public fun range(prefix: String): Result<KeyValueSnapshot, StepError>

    /**
     * As [range], for callers that know nothing yet and rather wait long than fail. The snapshot may be as old as the call. Services
     * may use the limits of [range].
     */
    public fun rangeOfSlowService(prefix: String): Result<KeyValueSnapshot, StepError> = range(prefix)

    public fun get(key: String): Result<KeyValue?, StepError>

    /** Compare-and-swap: writes [value] if the key's revision is [expectedRevision]; 0 means that the key must not exist. */
    public fun swap(
        key: String,
        expectedRevision: Long,
        value: String,
        leaseId: Long? = null,
    ): Result<SwapAnswer, StepError>

    /** A [swap] that is applied only if [absentKey] doesn't exist at that moment. */
    public fun swapWhileAbsent(
        key: String,
        expectedRevision: Long,
        value: String,
        absentKey: String,
    ): Result<SwapAnswer, StepError>

    public fun delete(
        key: String,
        expectedRevision: Long,
    ): Result<SwapAnswer, StepError>

    public fun grantLease(ttlMillis: Long): Result<Long, StepError>

    /** Renews the lease. Returns false if it has expired. */
    public fun keepAlive(leaseId: Long): Result<Boolean, StepError>

    public fun revokeLease(leaseId: Long): Result<Unit, StepError>

    /**
     * Reports all changes under [prefix] after [afterRevision], until closed. [onEnd] is called once if the watch ends for any
     * reason other than being closed, including [idleLimitMillis] without an event or progress notification.
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

/**
 * The entries at [revision]. Services that list entries in several reads may have read some of them at later revisions, up to
 * [readUpToRevision]; only the changes up to that one make the list consistent.
 */
public data class KeyValueSnapshot(
    public val entries: List<KeyValue>,
    public val revision: Long,
    public val readUpToRevision: Long = revision,
)

/** Result of a compare-and-swap: [won] if it was applied. [current] is the entry after the call, null if the key doesn't exist. */
public data class SwapAnswer(
    public val won: Boolean,
    public val current: KeyValue?,
)

public data class WatchBatch(
    public val changed: List<KeyValue>,
    public val deletedKeys: List<String>,
    public val revision: Long,
    /** Whether the service has only confirmed that nothing has changed up to [revision]. Services need not confirm it. */
    public val isProgress: Boolean = false,
)
