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
 * Appends [entries] to the copy of [partition]. With [truncateTo] the copy is first cut to that length, which a new
 * owner does to a copy whose tail differs; with [create] a copy that doesn't exist is created.
 */
@Serializable
public data class JournalAppend(
    public val partition: PartitionId,
    public val epoch: Long,
    public val entries: List<JournalEntry>,
    public val truncateTo: Long? = null,
    public val create: Boolean = false,
)

/** Makes the copy reject every append of an epoch below [epoch]. */
@Serializable
public data class JournalSeal(
    public val partition: PartitionId,
    public val epoch: Long,
)

@Serializable
public data class JournalRead(
    public val partition: PartitionId,
    public val fromIndex: Long,
    public val maxBytes: Int,
)

/** Entries from the index asked for; [nextIndex] is the length of the copy. */
@Serializable
public data class JournalPage(
    public val entries: List<JournalEntry>,
    public val nextIndex: Long,
    public val error: String? = null,
)

/** What a journal node answers to an append or a seal. */
@Serializable
public sealed interface JournalAnswer {
    @Serializable
    @SerialName("accepted")
    public data class Accepted(
        public val nextIndex: Long,
        public val lastEpoch: Long,
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

    @Serializable
    @SerialName("failed")
    public data class Failed(
        public val message: String,
    ) : JournalAnswer
}
