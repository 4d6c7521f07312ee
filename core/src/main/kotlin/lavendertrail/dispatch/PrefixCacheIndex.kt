package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.reducer.CacheEvent
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.PromptPrefix
import kotlin.math.pow

/**
 * A prompt prefix that a server had cached at [recordedMillis]. An entry is valid only for the [epoch] of the server's
 * cache in which it was recorded; the epoch rises when the server's process is replaced or lost.
 */
internal data class CachedPrefix(
    val tokens: Int,
    val recordedMillis: Long,
    val epoch: Int,
    val chainHash: String = "",
    val pinnedUntilMillis: Long = 0,
)

/** Cache state of a server. [lastGapMillis] is when cache events of the server were last lost; older entries count half. */
internal data class ServerCache(
    val epoch: Int = 0,
    val lastGapMillis: Long = Long.MIN_VALUE,
    val knownTokens: Long = 0,
)

/**
 * Index of the prompt prefixes that servers are expected to have cached: per program, recorded from answers, and per
 * prefix, recorded from answers and cache events.
 *
 * Cache events arrive late and some are lost, so an entry is an estimate: [expectedTokens] discounts its length by its age.
 * Engines report the tokens of single messages or of whole prefixes, so for entries per prefix the length in the call's own
 * prompt chain is used. A call's own program is looked up directly. Of the prefixes in its chain, only the first
 * [SHARED_PREFIXES] (such as a system prompt that many programs share) and the last [RECENT_PREFIXES] are looked up, so
 * that the cost doesn't grow with the length of the history.
 */
internal data class PrefixCacheIndex(
    private val programs: PersistentMap<ProgramId, PersistentMap<ServerId, CachedPrefix>> = persistentHashMapOf(),
    private val prefixes: GenerationMap<String, PersistentMap<ServerId, CachedPrefix>> = GenerationMap(limit = 20_000),
    private val evictions: GenerationMap<String, PersistentMap<ServerId, Long>> = GenerationMap(limit = 5_000),
    private val servers: PersistentMap<ServerId, ServerCache> = persistentHashMapOf(),
) {
    fun serversOf(program: ProgramId): Map<ServerId, CachedPrefix> = programs[program].orEmpty()

    /** Tokens of this node's live programs that are expected to be cached at [server]. */
    fun knownTokens(server: ServerId): Long = servers[server]?.knownTokens ?: 0

    fun serverWithLongestPrefix(program: ProgramId): ServerId? = programs[program]?.maxByOrNull { it.value.tokens }?.key

    /** Expected number of cached tokens of the call's prompt per server; servers without any are left out. */
    fun expectedTokens(
        call: DispatchCall,
        nowMillis: Long,
        halfLifeMillis: Long,
    ): Map<ServerId, Int> {
        val best = HashMap<ServerId, Int>()
        val longest = (call.promptTokens - 1).coerceAtLeast(0)

        fun add(
            entries: Map<ServerId, CachedPrefix>,
            prefixTokens: Int?,
        ) {
            for ((server, prefix) in entries) {
                val entryTokens = prefixTokens ?: prefix.tokens
                val tokens = minOf(longest, (entryTokens * expectedFraction(server, prefix, nowMillis, halfLifeMillis)).toInt())
                if (tokens > (best[server] ?: 0)) best[server] = tokens
            }
        }
        programs[call.call.program]?.let { add(it, prefixTokens = null) }
        for (prefix in prefixesToLookUp(call.promptChain)) prefixes[prefix.chainHash]?.let { add(it, prefix.tokens) }
        return best
    }

    /** Records that [server] has cached the call's prompt followed by [answerTokens] tokens of its answer. */
    fun withPrompt(
        server: ServerId,
        call: DispatchCall,
        answerTokens: Int,
        nowMillis: Long,
        pinnedUntilMillis: Long,
    ): PrefixCacheIndex {
        val epoch = servers[server]?.epoch ?: 0
        val last = if (call.promptChain.isEmpty()) "" else call.promptChain[call.promptChain.size - 1].chainHash
        val prefix = CachedPrefix(call.promptTokens + answerTokens, nowMillis, epoch, last, pinnedUntilMillis)
        var chains = prefixes
        for (entry in prefixesToRecord(call.promptChain)) {
            val known = chains[entry.chainHash] ?: persistentHashMapOf()
            chains = chains.put(entry.chainHash, known.put(server, CachedPrefix(entry.tokens, nowMillis, epoch, entry.chainHash)))
        }
        return withProgram(call.call.program, server, prefix).copy(prefixes = chains)
    }

    fun withPin(
        server: ServerId,
        program: ProgramId,
        untilMillis: Long,
    ): PrefixCacheIndex {
        val prefix = programs[program]?.get(server) ?: return this
        return withProgram(program, server, prefix.copy(pinnedUntilMillis = untilMillis))
    }

    fun withTransfer(
        program: ProgramId,
        to: ServerId,
        prefix: CachedPrefix,
        nowMillis: Long,
    ): PrefixCacheIndex {
        val copied = prefix.copy(recordedMillis = nowMillis, epoch = servers[to]?.epoch ?: 0, pinnedUntilMillis = 0)
        return withProgram(program, to, copied)
    }

    fun withoutProgramAt(
        server: ServerId,
        program: ProgramId,
    ): PrefixCacheIndex {
        val known = programs[program] ?: return this
        val prefix = known[server] ?: return this
        val remaining = known.remove(server)
        return copy(programs = if (remaining.isEmpty()) programs.remove(program) else programs.put(program, remaining))
            .withAddedTokens(server, -prefix.tokens.toLong())
    }

    fun withoutProgram(program: ProgramId): PrefixCacheIndex =
        programs[program]?.keys.orEmpty().fold(this) { index, server -> index.withoutProgramAt(server, program) }

    fun withEvents(
        server: ServerId,
        events: List<CacheEvent>,
        gap: Boolean,
        nowMillis: Long,
    ): PrefixCacheIndex {
        val cache = servers[server] ?: ServerCache()
        val withGap = if (gap) copy(servers = servers.put(server, cache.copy(lastGapMillis = nowMillis))) else this
        return events.fold(withGap) { index, event ->
            if (event.stored) {
                index.withStoredPrefix(
                    server,
                    event,
                    cache.epoch,
                    nowMillis,
                )
            } else {
                index.withEvictedPrefix(server, event.chainHash, nowMillis)
            }
        }
    }

    /** Invalidates the entries of a server whose process was replaced or lost, since its cache is empty. */
    fun withEmptyCache(server: ServerId): PrefixCacheIndex {
        val cache = servers[server] ?: ServerCache()
        return copy(servers = servers.put(server, ServerCache(epoch = cache.epoch + 1)))
    }

    private fun withStoredPrefix(
        server: ServerId,
        event: CacheEvent,
        epoch: Int,
        nowMillis: Long,
    ): PrefixCacheIndex {
        val known = prefixes[event.chainHash] ?: persistentHashMapOf()
        val prefix = CachedPrefix(event.tokens, nowMillis, epoch, event.chainHash)
        return copy(prefixes = prefixes.put(event.chainHash, known.put(server, prefix)))
    }

    private fun withEvictedPrefix(
        server: ServerId,
        chainHash: String,
        nowMillis: Long,
    ): PrefixCacheIndex {
        val known = prefixes[chainHash]?.remove(server)
        return copy(
            prefixes = if (known == null) prefixes else prefixes.put(chainHash, known),
            evictions = evictions.put(chainHash, (evictions[chainHash] ?: persistentHashMapOf()).put(server, nowMillis)),
        )
    }

    /** Fraction of the prefix, between 0 and 1, that is expected to be still cached. */
    private fun expectedFraction(
        server: ServerId,
        prefix: CachedPrefix,
        nowMillis: Long,
        halfLifeMillis: Long,
    ): Double {
        val cache = servers[server] ?: ServerCache()
        if (prefix.epoch != cache.epoch) return 0.0
        val evictedMillis = evictions[prefix.chainHash]?.get(server)
        if (evictedMillis != null && evictedMillis >= prefix.recordedMillis) return 0.0
        if (prefix.pinnedUntilMillis > nowMillis) return 1.0
        val baseFraction = if (prefix.recordedMillis <= cache.lastGapMillis) 0.5 else 1.0
        val age = (nowMillis - prefix.recordedMillis).coerceAtLeast(0)
        return baseFraction * 0.5.pow(age.toDouble() / halfLifeMillis)
    }

    private fun withProgram(
        program: ProgramId,
        server: ServerId,
        prefix: CachedPrefix,
    ): PrefixCacheIndex {
        val known = programs[program] ?: persistentHashMapOf()
        val before = known[server]?.tokens ?: 0
        return copy(programs = programs.put(program, known.put(server, prefix))).withAddedTokens(server, prefix.tokens.toLong() - before)
    }

    private fun withAddedTokens(
        server: ServerId,
        tokens: Long,
    ): PrefixCacheIndex {
        val cache = servers[server] ?: ServerCache()
        return copy(servers = servers.put(server, cache.copy(knownTokens = maxOf(0, cache.knownTokens + tokens))))
    }

    private companion object {
        const val SHARED_PREFIXES = 4
        const val RECENT_PREFIXES = 12

        fun prefixesToLookUp(chain: List<PromptPrefix>): List<PromptPrefix> = firstAndLast(chain, RECENT_PREFIXES)

        fun prefixesToRecord(chain: List<PromptPrefix>): List<PromptPrefix> = firstAndLast(chain, 1)

        // A chain computes its elements on access, so only the needed ones are read.
        fun firstAndLast(
            chain: List<PromptPrefix>,
            last: Int,
        ): List<PromptPrefix> {
            val size = chain.size
            if (size <= SHARED_PREFIXES + last) return chain
            return List(SHARED_PREFIXES + last) { index ->
                chain[
                    if (index <
                        SHARED_PREFIXES
                    ) {
                        index
                    } else {
                        size - last + index - SHARED_PREFIXES
                    },
                ]
            }
        }
    }
}
