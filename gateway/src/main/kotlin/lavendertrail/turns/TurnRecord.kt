package lavendertrail.turns

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * A turn: the new input of the caller and the output that the caller received. [previousId] is the turn that it continues, or null for
 * the first turn of a chain. A finished turn is immutable. An unfinished one has the output up to where its stream broke off.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TurnRecord(
    public val id: String,
    public val programId: String,
    public val previousId: String?,
    @ByteString public val input: ByteArray,
    @ByteString public val output: ByteArray,
    /** Wall-clock time until which the turn is kept, as one that can be continued or as part of the chain of such a turn. */
    public val expiresAtEpochMillis: Long,
    /** The attempt that brought the first event of the output; null where callers can't resume the stream. */
    public val streamId: String? = null,
    /** Null where callers can't resume the stream. */
    public val eventMarks: EventMarks? = null,
) {
    public val sizeBytes: Int get() = input.size + output.size

    /** The number of events by which a caller may name a part of the output. */
    internal val eventCount: Int get() = eventMarks?.ids?.size ?: 0

    internal fun extendedTo(expiresAtEpochMillis: Long) =
        TurnRecord(id, programId, previousId, input, output, expiresAtEpochMillis, streamId, eventMarks)

    /** This turn with its output up to the end of the event [eventId]; null if it has none, or several with this id. */
    internal fun upTo(eventId: String): TurnRecord? {
        val marks = eventMarks ?: return null
        val index = marks.ids.indexOf(eventId)
        if (index < 0 || marks.ids.lastIndexOf(eventId) != index) return null
        val part = EventMarks(marks.ids.take(index + 1), marks.ends.take(index + 1))
        return TurnRecord(id, programId, previousId, input, output.copyOf(part.ends.last()), expiresAtEpochMillis, streamId, part)
    }

    /** Whether the caller sent the same turn, and has received the same output. */
    internal fun hasSameContent(other: TurnRecord): Boolean =
        programId == other.programId &&
            previousId == other.previousId &&
            input.contentEquals(other.input) &&
            output.contentEquals(other.output)
}

/** Where the events with [ids] end within the output of a turn: the number of bytes up to each, in the same order. */
@Serializable
public data class EventMarks(
    val ids: List<String>,
    val ends: List<Int>,
)

/** When a turn that ends at [nowEpochMillis] expires, given that it can be continued for [retentionMillis]. */
internal fun turnExpiry(
    nowEpochMillis: Long,
    retentionMillis: Long,
): Long = nowEpochMillis + retentionMillis + retentionMillis / CHAIN_RENEWAL_DIVISOR

/**
 * Turns are kept longer than they can be continued by this part of the retention, so that the earlier turns of a chain are stored
 * again at most once in that time.
 */
private const val CHAIN_RENEWAL_DIVISOR = 2

/**
 * The records to store for [turn], which continues this chain: the turns that expire before [neededUntilEpochMillis], extended to
 * the time of [turn], and [turn] itself.
 */
internal fun List<TurnRecord>.withExtended(
    turn: TurnRecord,
    neededUntilEpochMillis: Long,
): List<TurnRecord> = filter { it.expiresAtEpochMillis < neededUntilEpochMillis }.map { it.extendedTo(turn.expiresAtEpochMillis) } + turn
