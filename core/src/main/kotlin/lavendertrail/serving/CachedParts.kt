package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** Prompt parts that a server has probably cached, in two generations of at most half of [limit] each. */
internal data class CachedParts(
    private val limit: Int,
    private val newer: PersistentMap<String, Int> = persistentHashMapOf(),
    private val older: PersistentMap<String, Int> = persistentHashMapOf(),
) {
    /** Tokens of the longest cached prefix of [parts]. A part counts only if all parts before it are cached too. */
    fun cachedTokens(parts: List<PromptPart>): Int {
        var tokens = 0
        for (part in parts) {
            if (part.id !in newer && part.id !in older) break
            tokens += part.tokens
        }
        return tokens
    }

    fun with(parts: List<PromptPart>): CachedParts = parts.fold(this) { cache, part -> cache.with(part) }

    private fun with(part: PromptPart): CachedParts {
        if (part.id in newer) return this
        if (newer.size >= limit / 2) return copy(newer = persistentHashMapOf(part.id to part.tokens), older = newer)
        return copy(newer = newer.put(part.id, part.tokens))
    }
}
