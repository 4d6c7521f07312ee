package lavendertrail.journal

import kotlinx.serialization.Serializable

/** Durable metadata of a copy. [startIndex] is the first index of an empty copy; [version] is incremented with each write. */
@Serializable
internal data class CopyState(
    val sealedEpoch: Long,
    val attempt: Long,
    val complete: Boolean,
    val startIndex: Long = 0,
    val version: Long = 0,
)

/** Marks the entries of a copy from [fromIndex] on as untrusted; [message] is the cause. */
internal data class CopyDamage(
    val fromIndex: Long,
    val message: String,
) {
    override fun toString() = "damaged from index $fromIndex: $message"
}

/** Stores the entries and the state of one copy. [JournalCopy] decides what is written and serializes the calls. */
internal interface CopyStorage {
    val state: CopyState
    val firstIndex: Long

    /** Index after the last readable entry. */
    val nextIndex: Long
    val lastEpoch: Long
    val damage: CopyDamage?

    /** Returns entries from [fromIndex] on until [maxBytes] are reached, at least one. Stops early at damage. */
    fun read(
        fromIndex: Long,
        maxBytes: Int,
    ): List<JournalEntry>

    /** Appends entries that start at [nextIndex]. After an error the storage still ends with a whole entry. */
    fun write(entries: List<JournalEntry>)

    /** Truncates the copy durably to length [to] and clears any damage. */
    fun truncate(to: Long)

    /** Removes all entries durably; the empty copy then starts at index [at]. */
    fun reset(at: Long)

    /** Writes [state] and returns once it is durable. */
    fun saveState(state: CopyState)

    /** Returns once all entries are durable. */
    fun flush()

    /** Removes entries below [beforeIndex] as far as possible. The last entry is always kept. */
    fun reclaim(beforeIndex: Long)
}
