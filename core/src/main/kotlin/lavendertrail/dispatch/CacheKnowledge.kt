package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.reducer.CacheEvent
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.PromptPrefix
import kotlin.math.pow

/** A prefix that a server had cached at [atMillis]. [epoch] is that of the server's cache; a restart empties it. */
internal data class CachedPrefix(
    val tokens: Int,
    val atMillis: Long,
    val epoch: Int,
    val chainHash: String = "",
    val pinnedUntilMillis: Long = 0,
)

/** [gapMillis] is when events of this server were last lost; older entries are trusted less. */
internal data class ServerCache(
    val epoch: Int = 0,
    val gapMillis: Long = Long.MIN_VALUE,
    val knownTokens: Long = 0,
)

/**
 * What this node believes to be cached where: per program from answers, and per prefix from answers and cache events.
 *
 * Events come late and with gaps, so an entry is a belief that fades: [expectedTokens] weighs its length with its age.
 * Engines report the tokens of single messages or of whole prefixes; the length that counts is that of the call's chain.
 * A call's own program is looked up directly. Of its other prefixes, the first [SHARED_PREFIXES] (a system prompt that
 * many programs share) and the last [RECENT_PREFIXES] are looked up, so that the cost doesn't grow with the history.
 */
internal data class CacheKnowledge(
    private val programs: PersistentMap<ProgramId, PersistentMap<ServerId, CachedPrefix>> = persistentHashMapOf(),
    private val prefixes: GenerationMap<String, PersistentMap<ServerId, CachedPrefix>> = GenerationMap(limit = 20_000),
    private val evictions: GenerationMap<String, PersistentMap<ServerId, Long>> = GenerationMap(limit = 5_000),
    private val servers: PersistentMap<ServerId, ServerCache> = persistentHashMapOf(),
) {
    fun serversOf(program: ProgramId): Map<ServerId, CachedPrefix> = programs[program].orEmpty()

    /** Tokens of live programs of this node that are believed to be cached at [server]. */
    fun knownTokens(server: ServerId): Long = servers[server]?.knownTokens ?: 0

    fun serverWithMost(program: ProgramId): ServerId? = programs[program]?.maxByOrNull { it.value.tokens }?.key

    /** Cached tokens of the call's prompt that may be expected on each server; servers without any are left out. */
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
                val whole = prefixTokens ?: prefix.tokens
                val tokens = minOf(longest, (whole * trustIn(server, prefix, nowMillis, halfLifeMillis)).toInt())
                if (tokens > (best[server] ?: 0)) best[server] = tokens
            }
        }
        programs[call.call.program]?.let { add(it, prefixTokens = null) }
        for (prefix in lookedUp(call.promptChain)) prefixes[prefix.chainHash]?.let { add(it, prefix.tokens) }
        return best
    }

    /** The call's prompt, and with [answerTokens] its answer, are in the cache of [server] now. */
    fun recorded(
        server: ServerId,
        call: DispatchCall,
        answerTokens: Int,
        nowMillis: Long,
        pinnedUntilMillis: Long,
    ): CacheKnowledge {
        val epoch = servers[server]?.epoch ?: 0
        val last = if (call.promptChain.isEmpty()) "" else call.promptChain[call.promptChain.size - 1].chainHash
        val prefix = CachedPrefix(call.promptTokens + answerTokens, nowMillis, epoch, last, pinnedUntilMillis)
        var chains = prefixes
        for (entry in recordedPrefixes(call.promptChain)) {
            val known = chains[entry.chainHash] ?: persistentHashMapOf()
            chains = chains.put(entry.chainHash, known.put(server, CachedPrefix(entry.tokens, nowMillis, epoch, entry.chainHash)))
        }
        return withProgram(call.call.program, server, prefix).copy(prefixes = chains)
    }

    fun pinned(
        server: ServerId,
        program: ProgramId,
        untilMillis: Long,
    ): CacheKnowledge {
        val prefix = programs[program]?.get(server) ?: return this
        return withProgram(program, server, prefix.copy(pinnedUntilMillis = untilMillis))
    }

    fun transferred(
        program: ProgramId,
        to: ServerId,
        prefix: CachedPrefix,
        nowMillis: Long,
    ): CacheKnowledge = withProgram(program, to, prefix.copy(atMillis = nowMillis, epoch = servers[to]?.epoch ?: 0, pinnedUntilMillis = 0))

    fun dropped(
        server: ServerId,
        program: ProgramId,
    ): CacheKnowledge {
        val known = programs[program] ?: return this
        val prefix = known[server] ?: return this
        val left = known.remove(server)
        return copy(programs = if (left.isEmpty()) programs.remove(program) else programs.put(program, left))
            .counted(server, -prefix.tokens.toLong())
    }

    fun forgotten(program: ProgramId): CacheKnowledge =
        programs[program]?.keys.orEmpty().fold(this) { knowledge, server -> knowledge.dropped(server, program) }

    fun withEvents(
        server: ServerId,
        events: List<CacheEvent>,
        gap: Boolean,
        nowMillis: Long,
    ): CacheKnowledge {
        val cache = servers[server] ?: ServerCache()
        val marked = if (gap) copy(servers = servers.put(server, cache.copy(gapMillis = nowMillis))) else this
        return events.fold(marked) { knowledge, event ->
            if (event.stored) {
                knowledge.stored(
                    server,
                    event,
                    cache.epoch,
                    nowMillis,
                )
            } else {
                knowledge.evicted(server, event.chainHash, nowMillis)
            }
        }
    }

    /** The server's process is another one or gone, and its cache with it. */
    fun emptied(server: ServerId): CacheKnowledge {
        val cache = servers[server] ?: ServerCache()
        return copy(servers = servers.put(server, ServerCache(epoch = cache.epoch + 1)))
    }

    private fun stored(
        server: ServerId,
        event: CacheEvent,
        epoch: Int,
        nowMillis: Long,
    ): CacheKnowledge {
        val known = prefixes[event.chainHash] ?: persistentHashMapOf()
        val prefix = CachedPrefix(event.tokens, nowMillis, epoch, event.chainHash)
        return copy(prefixes = prefixes.put(event.chainHash, known.put(server, prefix)))
    }

    private fun evicted(
        server: ServerId,
        chainHash: String,
        nowMillis: Long,
    ): CacheKnowledge {
        val known = prefixes[chainHash]?.remove(server)
        return copy(
            prefixes = if (known == null) prefixes else prefixes.put(chainHash, known),
            evictions = evictions.put(chainHash, (evictions[chainHash] ?: persistentHashMapOf()).put(server, nowMillis)),
        )
    }

    /** How much of the prefix may be expected to be there, between 0 and 1. */
    private fun trustIn(
        server: ServerId,
        prefix: CachedPrefix,
        nowMillis: Long,
        halfLifeMillis: Long,
    ): Double {
        val cache = servers[server] ?: ServerCache()
        if (prefix.epoch != cache.epoch) return 0.0
        val evictedMillis = evictions[prefix.chainHash]?.get(server)
        if (evictedMillis != null && evictedMillis >= prefix.atMillis) return 0.0
        if (prefix.pinnedUntilMillis > nowMillis) return 1.0
        val trust = if (prefix.atMillis <= cache.gapMillis) 0.5 else 1.0
        val age = (nowMillis - prefix.atMillis).coerceAtLeast(0)
        return trust * 0.5.pow(age.toDouble() / halfLifeMillis)
    }

    private fun withProgram(
        program: ProgramId,
        server: ServerId,
        prefix: CachedPrefix,
    ): CacheKnowledge {
        val known = programs[program] ?: persistentHashMapOf()
        val before = known[server]?.tokens ?: 0
        return copy(programs = programs.put(program, known.put(server, prefix))).counted(server, prefix.tokens.toLong() - before)
    }

    private fun counted(
        server: ServerId,
        tokens: Long,
    ): CacheKnowledge {
        val cache = servers[server] ?: ServerCache()
        return copy(servers = servers.put(server, cache.copy(knownTokens = maxOf(0, cache.knownTokens + tokens))))
    }

    private companion object {
        const val SHARED_PREFIXES = 4
        const val RECENT_PREFIXES = 12

        fun lookedUp(chain: List<PromptPrefix>): List<PromptPrefix> = firstAndLast(chain, RECENT_PREFIXES)

        fun recordedPrefixes(chain: List<PromptPrefix>): List<PromptPrefix> = firstAndLast(chain, 1)

        // A chain makes its elements on access, so that only those needed may be read.
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
