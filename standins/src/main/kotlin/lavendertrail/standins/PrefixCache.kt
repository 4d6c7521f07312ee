package lavendertrail.standins

/** A part of a prompt in the cache: one message, named by the chain hash up to it. */
internal data class CachedPrefix(
    val chainHash: String,
    val tokens: Int,
)

/**
 * An engine's cache of prompt prefixes, one entry per message, in units of tokens. The least recently used entry without
 * a hold is evicted first; a chain is touched from its end to its start, so the end goes before what it depends on. Not
 * thread-safe.
 */
internal class PrefixCache(
    private val capacityTokens: Long,
    private val onChange: (CachedPrefix, Boolean) -> Unit,
) {
    private class Entry(
        val tokens: Int,
        var holds: Int = 0,
    )

    private val entries = LinkedHashMap<String, Entry>(1_024, 0.75f, true)
    private val heldHashes = HashSet<String>()

    var usedTokens: Long = 0
        private set

    /** Tokens that can't be evicted now. */
    var heldTokens: Long = 0
        private set

    /** How many entries from the start of [chainHashes] are here. */
    operator fun contains(chainHash: String): Boolean = entries.containsKey(chainHash)

    /** Doesn't count as a use. */
    fun isHeld(chainHash: String): Boolean = chainHash in heldHashes

    /** Gives an entry the name by which a prompt asks for it. */
    fun rename(
        from: String,
        to: String,
    ) {
        val entry = entries.remove(from) ?: return
        entries[to] = entry
        onChange(CachedPrefix(to, entry.tokens), true)
    }

    fun touch(chainHashes: List<String>) {
        for (index in chainHashes.indices.reversed()) entries[chainHashes[index]]
    }

    /** Stores [prefixes] in order, until one doesn't fit. */
    fun store(prefixes: List<CachedPrefix>) {
        for (prefix in prefixes) {
            if (prefix.chainHash in this) continue
            if (!makeRoom(prefix.tokens)) return
            entries[prefix.chainHash] = Entry(prefix.tokens)
            usedTokens += prefix.tokens
            onChange(prefix, true)
        }
    }

    /** Protects those of [chainHashes] that are here from eviction and returns them, for [letGo]. */
    fun hold(chainHashes: List<String>): List<String> {
        val here = chainHashes.filter { it in this }
        for (hash in here) {
            val entry = entries.getValue(hash)
            if (entry.holds++ > 0) continue
            heldHashes += hash
            heldTokens += entry.tokens
        }
        return here
    }

    fun letGo(held: List<String>) {
        for (hash in held) {
            val entry = entries[hash] ?: continue
            if (--entry.holds > 0) continue
            heldHashes -= hash
            heldTokens -= entry.tokens
        }
    }

    fun clear() {
        entries.clear()
        heldHashes.clear()
        usedTokens = 0
        heldTokens = 0
    }

    private fun makeRoom(tokens: Int): Boolean {
        if (tokens + heldTokens > capacityTokens) return false
        val oldest = entries.entries.iterator()
        while (usedTokens + tokens > capacityTokens && oldest.hasNext()) {
            val (hash, entry) = oldest.next()
            if (entry.holds > 0) continue
            oldest.remove()
            usedTokens -= entry.tokens
            onChange(CachedPrefix(hash, entry.tokens), false)
        }
        return usedTokens + tokens <= capacityTokens
    }
}
