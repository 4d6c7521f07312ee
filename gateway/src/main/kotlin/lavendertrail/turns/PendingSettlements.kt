package lavendertrail.turns

/** Settled uses that have not been sent to the turn hosts yet, by program. */
internal class PendingSettlements {
    private val usesByProgram = HashMap<String, MutableList<UseRecord>>()

    /** Adds [use]; returns whether it is the program's first pending one. */
    fun add(use: UseRecord): Boolean {
        val uses = usesByProgram.getOrPut(use.programId) { mutableListOf() }
        uses += use
        return uses.size == 1
    }

    /** Removes and returns the pending uses of [programId]. */
    fun take(programId: String): List<UseRecord> = usesByProgram.remove(programId).orEmpty()

    /** Removes and returns all pending uses, grouped by program. */
    fun takeAll(): List<List<UseRecord>> = usesByProgram.values.toList().also { usesByProgram.clear() }
}
