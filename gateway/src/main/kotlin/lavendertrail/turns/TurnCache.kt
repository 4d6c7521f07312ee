package lavendertrail.turns

/** LRU cache of turns, limited to [maxBytes] of input and output. */
internal class TurnCache(
    private val maxBytes: Long,
) {
    private val turns = LinkedHashMap<String, TurnRecord>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var sizeBytes = 0L

    operator fun get(id: String): TurnRecord? = turns[id]

    fun put(turn: TurnRecord) {
        if (turns.put(turn.id, turn) == null) sizeBytes += turn.sizeBytes
        val oldest = turns.entries.iterator()
        while (sizeBytes > maxBytes && oldest.hasNext()) {
            sizeBytes -= oldest.next().value.sizeBytes
            oldest.remove()
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
