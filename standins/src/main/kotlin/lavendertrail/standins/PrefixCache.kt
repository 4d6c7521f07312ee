package lavendertrail.standins

/** One message of a prompt in the cache, identified by the chain hash of the prompt up to and including it. */
internal data class CachedPrefix(
    val chainHash: String,
    val tokens: Int,
)

/**
 * An engine's cache of prompt prefixes, with one entry per message and sizes in tokens. The least recently used entry
 * without a hold is evicted first. A chain is marked as used from its end to its start, so that an entry is evicted before
 * the entries it depends on. Not thread-safe.
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

    /** Tokens of the entries that are held and can't be evicted. */
    var heldTokens: Long = 0
        private set

    /** Whether [chainHash] is cached. Doesn't count as a use. */
    operator fun contains(chainHash: String): Boolean = entries.containsKey(chainHash)

    /** Doesn't count as a use. */
    fun isHeld(chainHash: String): Boolean = chainHash in heldHashes

    /** Moves an entry to the chain hash by which prompts look it up. */
    fun rename(
        from: String,
        to: String,
    ) {
        val entry = entries.remove(from) ?: return
        entries[to] = entry
        onChange(CachedPrefix(to, entry.tokens), true)
    }

    /** Makes [chainHashes] the most recently used entries, with the first of them last to be evicted. */
    fun markUsed(chainHashes: List<String>) {
        for (index in chainHashes.indices.reversed()) entries[chainHashes[index]]
    }

    /** Stores [prefixes] in order and stops at the first that doesn't fit. */
    fun store(prefixes: List<CachedPrefix>) {
        for (prefix in prefixes) {
            if (prefix.chainHash in this) continue
            if (!makeRoom(prefix.tokens)) return
            entries[prefix.chainHash] = Entry(prefix.tokens)
            usedTokens += prefix.tokens
            onChange(prefix, true)
        }
    }

    /** Protects the cached entries of [chainHashes] from eviction and returns their hashes, for [release]. */
    fun hold(chainHashes: List<String>): List<String> {
        val cachedHashes = chainHashes.filter { it in this }
        for (hash in cachedHashes) {
            val entry = entries.getValue(hash)
            if (entry.holds++ > 0) continue
            heldHashes += hash
            heldTokens += entry.tokens
        }
        return cachedHashes
    }

    /** Undoes one [hold] of [hashes]. */
    fun release(hashes: List<String>) {
        for (hash in hashes) {
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
        val leastRecentlyUsed = entries.entries.iterator()
        while (usedTokens + tokens > capacityTokens && leastRecentlyUsed.hasNext()) {
            val (hash, entry) = leastRecentlyUsed.next()
            if (entry.holds > 0) continue
            leastRecentlyUsed.remove()
            usedTokens -= entry.tokens
            onChange(CachedPrefix(hash, entry.tokens), false)
        }
        return usedTokens + tokens <= capacityTokens
    }
}
