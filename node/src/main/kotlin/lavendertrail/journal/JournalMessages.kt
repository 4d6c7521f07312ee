package lavendertrail.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.history.HistoryRecord
import lavendertrail.model.PartitionId

/** One journal entry: entries of a partition are numbered from 0 without gaps. */
@Serializable
public data class JournalEntry(
    public val index: Long,
    public val epoch: Long,
    public val record: HistoryRecord,
)

/**
 * Appends [entries] to the copy of [partition]. A plain append needs a copy that is sealed at exactly [epoch] and
 * [attempt]. Entries that the copy already holds are skipped, so an append can be repeated.
 *
 * With [truncateTo] the copy is first cut to that length, which a new owner does to a copy whose tail differs. A copy
 * that doesn't reach to that index answers [JournalAnswer.Gap]: an earlier request of the same refill may have been
 * repeated late. With [create] a copy starts anew and empty at [truncateTo]; without [truncateTo] only where there is
 * none, at 0. Such a copy counts as incomplete until a [JournalSeal.completeAt] confirms it. With [storeId] a copy is
 * created only in the store of that id, so that a delayed request doesn't create one on a replaced host that has
 * forgotten its seals.
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
 * Makes the copy reject every append of an epoch below [epoch], and of a lower [attempt] in the same epoch. [attempt]
 * numbers the recoveries that one owner runs in one epoch, so that a delayed request of an earlier one can't cut
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

/** Entries from the index asked for; the copy holds [firstIndex] until before [nextIndex]. A new disk has a new [storeId]. */
@Serializable
public data class JournalPage(
    public val entries: List<JournalEntry>,
    public val nextIndex: Long,
    public val error: String? = null,
    public val firstIndex: Long = 0,
    public val storeId: String? = null,
)

/** Lets the copy remove whole segments that hold only entries below [beforeIndex]. */
@Serializable
public data class JournalReclaim(
    public val partition: PartitionId,
    public val epoch: Long,
    public val attempt: Long = 0,
    public val beforeIndex: Long,
)

/** What a journal node answers to an append or a seal. */
@Serializable
public sealed interface JournalAnswer {
    /**
     * [complete] is false where the copy may lack entries that it once accepted: it is being refilled, or its host lost
     * power before the last flush.
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

    /** The entries don't follow the last one of the copy. */
    @Serializable
    @SerialName("gap")
    public data class Gap(
        public val nextIndex: Long,
    ) : JournalAnswer

    /** This node holds no copy of the partition: a replaced host. It says nothing about what was acknowledged. */
    @Serializable
    @SerialName("unknown")
    public data object Unknown : JournalAnswer

    /** With [damaged] the copy accepts nothing until its owner has refilled it; otherwise a repetition may succeed. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        public val message: String,
        public val damaged: Boolean = false,
    ) : JournalAnswer
}
