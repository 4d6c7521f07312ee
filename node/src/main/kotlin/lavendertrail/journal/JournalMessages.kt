package lavendertrail.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.history.HistoryRecord
import lavendertrail.model.PartitionId

/** A journal entry. The entries of a partition are numbered from 0 without gaps. */
@Serializable
public data class JournalEntry(
    public val index: Long,
    public val epoch: Long,
    public val record: HistoryRecord,
)

/**
 * Appends [entries] to the copy of [partition]. A plain append requires a copy that is sealed at exactly [epoch] and
 * [attempt]. Entries that the copy already holds are skipped, so an append can be retried.
 *
 * With [truncateTo] the copy is first truncated to that length; a new owner uses this for a copy whose tail differs. A
 * copy that is shorter than that answers [JournalAnswer.Gap], because an earlier request of the same refill may have
 * been repeated late. With [create] and [truncateTo] the copy is replaced by an empty one that starts at [truncateTo];
 * with [create] alone an empty copy that starts at 0 is created if there is none. A truncated or created copy is
 * incomplete until a [JournalSeal.completeAt] confirms it or a plain append continues it. With [storeId] a copy is
 * created only in the store with that id, so that a delayed request can't create a copy on a replaced host that has lost
 * its seals.
 */
@Serializable
public data class JournalAppend(
    public val partition: PartitionId,
    public val epoch: Long,
    public val entries: List<JournalEntry>,
    public val truncateTo: Long? = null,
    public val create: Boolean = false,
    public val attempt: Long = 0,
    public val storeId: String? = null,
)

/**
 * Makes the copy reject appends with an epoch below [epoch], and with a lower [attempt] in the same epoch. [attempt]
 * numbers the recoveries of one owner within an epoch, so that a delayed request of an earlier recovery can't remove
 * entries that were acknowledged since. With [completeAt] the copy is marked complete if it has exactly that length.
 */
@Serializable
public data class JournalSeal(
    public val partition: PartitionId,
    public val epoch: Long,
    public val attempt: Long = 0,
    public val completeAt: Long? = null,
)

@Serializable
public data class JournalRead(
    public val partition: PartitionId,
    public val fromIndex: Long,
    public val maxBytes: Int,
)

/** Entries from the requested index on. The copy holds [firstIndex] until [nextIndex], exclusive. A new disk has a new [storeId]. */
@Serializable
public data class JournalPage(
    public val entries: List<JournalEntry>,
    public val nextIndex: Long,
    public val error: String? = null,
    public val firstIndex: Long = 0,
    public val storeId: String? = null,
)

/** Allows the copy to remove segments that only hold entries below [beforeIndex]. */
@Serializable
public data class JournalReclaim(
    public val partition: PartitionId,
    public val epoch: Long,
    public val attempt: Long = 0,
    public val beforeIndex: Long,
)

/** Answer of a journal node to an append, a seal or a reclaim. */
@Serializable
public sealed interface JournalAnswer {
    /**
     * The request was accepted. [complete] is false if the copy may lack entries that it accepted before: it is being
     * refilled, or its host lost power before the last flush.
     */
    @Serializable
    @SerialName("accepted")
    public data class Accepted(
        public val nextIndex: Long,
        public val lastEpoch: Long,
        public val complete: Boolean = true,
    ) : JournalAnswer

    /** The copy is sealed at [sealedEpoch], above the epoch of the request. */
    @Serializable
    @SerialName("fenced")
    public data class Fenced(
        public val sealedEpoch: Long,
    ) : JournalAnswer

    /** The entries don't continue the copy, which ends before [nextIndex] or has a different entry there. */
    @Serializable
    @SerialName("gap")
    public data class Gap(
        public val nextIndex: Long,
    ) : JournalAnswer

    /** The node has no copy of the partition, as after a host replacement. This implies nothing about acknowledged entries. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : JournalAnswer

    /** The request failed. With [damaged] the copy accepts nothing until its owner has refilled it; otherwise a retry may succeed. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        public val message: String,
        public val damaged: Boolean = false,
    ) : JournalAnswer
}
