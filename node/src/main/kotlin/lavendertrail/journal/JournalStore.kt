package lavendertrail.journal

import lavendertrail.model.PartitionId

/** Status of a journal node's copy of one partition. [damage] describes from which index on and why it can't be read. */
public data class JournalCopyStatus(
    public val partition: PartitionId,
    public val sealedEpoch: Long,
    public val firstIndex: Long,
    public val nextIndex: Long,
    public val complete: Boolean,
    public val damage: String? = null,
)

/**
 * Stores the journal copies of one node, one per partition. All functions block and may be called from any thread;
 * requests for one partition are executed one after the other.
 *
 * Each copy has a seal, a pair of epoch and attempt that never decreases. A raised seal is durable, against a kill of the
 * process as well as a power loss, before the request that raised it is answered. [JournalAppend] and [JournalSeal]
 * describe which requests are accepted.
 */
public interface JournalStore : AutoCloseable {
    /** Random id of this store, which persists as long as its copies. */
    public val id: String

    public fun append(request: JournalAppend): JournalAnswer

    public fun seal(request: JournalSeal): JournalAnswer

    /** Returns at least one entry, even if it is larger than [JournalRead.maxBytes], unless the copy ends before it. */
    public fun read(request: JournalRead): JournalPage

    public fun reclaim(request: JournalReclaim): JournalAnswer

    /** Returns the copies that were used since the store was opened. */
    public fun copies(): List<JournalCopyStatus>
}
