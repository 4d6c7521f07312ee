package lavendertrail.turns

/** Relay addresses that entry hosts have announced within the last [RETENTION_MILLIS]. */
internal class EntryHosts(
    private val nowMillis: () -> Long,
) {
    private val announcedAtMillis = LinkedHashMap<String, Long>()

    /** Records the relay address [address], unless it is empty, and returns up to [MAX_OTHERS] others in random order. */
    fun announce(address: String): List<String> {
        if (address.isNotEmpty()) announcedAtMillis[address] = nowMillis()
        removeOld()
        return (announcedAtMillis.keys - address).shuffled().take(MAX_OTHERS)
    }

    /** The number of entry hosts that have announced themselves lately. */
    fun count(): Int {
        removeOld()
        return announcedAtMillis.size
    }

    private fun removeOld() {
        val now = nowMillis()
        announcedAtMillis.values.removeIf { now - it > RETENTION_MILLIS }
    }

    private companion object {
        /** Three announcement intervals of five seconds. */
        const val RETENTION_MILLIS = 15_000L

        /** If a third of the entry hosts are cut off from the turn hosts, the probability that all of these are is below 1 %. */
        const val MAX_OTHERS = 5
    }
}
