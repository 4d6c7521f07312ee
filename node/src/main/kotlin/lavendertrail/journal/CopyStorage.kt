package lavendertrail.journal

import kotlinx.serialization.Serializable

/** The part of a copy that is not entries. [startIndex] is where an empty copy begins; [version] counts its changes. */
@Serializable
internal data class CopyState(
    val sealedEpoch: Long,
    val attempt: Long,
    val complete: Boolean,
    val startIndex: Long = 0,
    val version: Long = 0,
)

/** From [fromIndex] on the entries of a copy can't be trusted, because of what [message] says. */
internal data class CopyDamage(
    val fromIndex: Long,
    val message: String,
) {
    override fun toString() = "damaged from index $fromIndex: $message"
}

/** Where the entries of one copy are kept. [JournalCopy] decides what is written; calls are not concurrent. */
internal interface CopyStorage {
    val state: CopyState
    val firstIndex: Long

    /** Index after the last entry that can be read. */
    val nextIndex: Long
    val lastEpoch: Long
    val damage: CopyDamage?

    /** Entries from [fromIndex] until [maxBytes] are reached, at least one; fewer where damage is found. */
    fun read(
        fromIndex: Long,
        maxBytes: Int,
    ): List<JournalEntry>

    /** Adds entries that start at [nextIndex]. On an error the storage ends with a whole entry. */
    fun write(entries: List<JournalEntry>)

    /** Cuts the copy to length [to], durably, and removes damage after it. */
    fun truncate(to: Long)

    /** Empties the copy, which then starts at index [at], durably. */
    fun restart(at: Long)

    /** Returns after [state] is durable. */
    fun save(state: CopyState)

    /** Returns after all entries are durable. */
    fun flush()

    /** Removes what can be removed of the entries below [beforeIndex]. */
    fun reclaim(beforeIndex: Long)
}
