package lavendertrail.journal

import lavendertrail.model.PartitionId

/** What a journal node holds of one partition. [damage] says from where and why it can't be read. */
public data class JournalCopyStatus(
    public val partition: PartitionId,
    public val sealedEpoch: Long,
    public val firstIndex: Long,
    public val nextIndex: Long,
    public val complete: Boolean,
    public val damage: String? = null,
)

/**
 * The journal copies of one node, one per partition. All functions block and may be called from any thread; requests
 * of one partition are executed one after the other.
 *
 * A copy has a seal, the pair of epoch and attempt, which only rises and survives a kill of the process and a loss of
 * power before a request that raises it is answered. See [JournalAppend] and [JournalSeal] for what is accepted.
 */
public interface JournalStore : AutoCloseable {
    /** Random name of this store, kept as long as its copies. */
    public val id: String

    public fun append(request: JournalAppend): JournalAnswer

    public fun seal(request: JournalSeal): JournalAnswer

    /** Returns at least one entry, also where it is larger than [JournalRead.maxBytes], unless the copy ends before. */
    public fun read(request: JournalRead): JournalPage

    public fun reclaim(request: JournalReclaim): JournalAnswer

    /** The copies that were used since the store was opened. */
    public fun copies(): List<JournalCopyStatus>
}
