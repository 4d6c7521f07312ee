package lavendertrail.turns

/**
 * Turns by the stream that brought their output, with the attempts of one stream side by side: each has all that its caller had got
 * of the stream by its end.
 */
internal class StreamTurns {
    private val byStream = HashMap<String, HashMap<String, TurnRecord>>()

    /** Adds [turn], unless more of the same attempt is there already. */
    fun add(turn: TurnRecord) {
        val streamId = turn.streamId ?: return
        byStream.getOrPut(streamId) { HashMap() }.merge(turn.id, turn, ::longerTurn)
    }

    /** Removes [turn], unless another record keeps it for longer. */
    fun remove(turn: TurnRecord) {
        val attempts = byStream[turn.streamId] ?: return
        val current = attempts[turn.id] ?: return
        if (current.expiresAtEpochMillis > turn.expiresAtEpochMillis) return
        attempts.remove(turn.id)
        if (attempts.isEmpty()) byStream.remove(turn.streamId)
    }

    /** Whether the attempt [id] is here with at least [eventCount] events, at least until [expiresAtEpochMillis]. */
    fun has(
        streamId: String,
        id: String,
        eventCount: Int,
        expiresAtEpochMillis: Long,
    ): Boolean =
        byStream[streamId]?.get(id)?.let { it.eventCount >= eventCount && it.expiresAtEpochMillis >= expiresAtEpochMillis } ?: false

    /** The turns of the stream, each with its output up to the event [eventId], without those that don't have it. */
    fun upTo(
        streamId: String,
        eventId: String,
    ): List<TurnRecord> = byStream[streamId]?.values.orEmpty().mapNotNull { it.upTo(eventId) }

    fun all(): List<TurnRecord> = byStream.values.flatMap { it.values }

    /** The one with more events, since the other one was stored earlier, kept for the longer of the two times. */
    private fun longerTurn(
        existing: TurnRecord,
        other: TurnRecord,
    ): TurnRecord {
        val longer = if (other.eventCount > existing.eventCount) other else existing
        return longer.extendedTo(maxOf(existing.expiresAtEpochMillis, other.expiresAtEpochMillis))
    }
}
