package lavendertrail.turns

/** The entry hosts that have called lately, by the address at which each relays calls of others. */
internal class EntryHosts(
    private val nowMillis: () -> Long,
) {
    private val seenAtMillis = LinkedHashMap<String, Long>()

    /** Notes the entry host at [address] and returns some of the others, in random order. */
    fun meet(address: String): List<String> {
        val now = nowMillis()
        seenAtMillis[address] = now
        seenAtMillis.values.removeIf { now - it > KEPT_MILLIS }
        return (seenAtMillis.keys - address).shuffled().take(MAX_OTHERS)
    }

    private companion object {
        /** Three rounds of calls, which come every five seconds. */
        const val KEPT_MILLIS = 15_000L

        /** With a third of the entry hosts cut off as well, all of these are in fewer than one case in a hundred. */
        const val MAX_OTHERS = 5
    }
}
