package lavendertrail.standins

import lavendertrail.model.ProgramId
import lavendertrail.ports.CacheEventBatch
import lavendertrail.ports.ExportedCache
import kotlin.random.Random

/** Cache, pins and cache events of a stand-in engine. Not thread-safe; [EngineStandin] holds the lock. */
internal class EngineMemory(
    settings: EngineSettings,
    random: Random,
    private val clock: () -> Long,
) {
    private class Pin(
        val heldHashes: List<String>,
        val expiresAtMillis: Long,
    )

    private val events = CacheEventLog(settings.realMillis(settings.cacheEventLagMillis), settings.cacheEventLossPercent, random, clock)
    private val cache =
        PrefixCache(settings.cacheCapacityTokens) { prefix, stored ->
            if (!prefix.chainHash.startsWith(ANSWER_PREFIX)) events.add(prefix, stored)
        }
    private val pins = LinkedHashMap<ProgramId, Pin>()
    private val answerFingerprints = boundedMap<String, Long>()
    private val lastPrompts = boundedMap<ProgramId, EnginePrompt>()
    private val capacityTokens = settings.cacheCapacityTokens

    val usedTokens: Long get() = cache.usedTokens

    /** Whether the prompt and the answer of [call] fit into the cache beside all entries that are held now. */
    fun hasRoomFor(call: EngineCall): Boolean {
        val prompt = call.prompt
        val shared = prompt.chainHashes.indices.sumOf { if (cache.isHeld(prompt.chainHashes[it])) prompt.tokens[it] else 0 }
        return cache.heldTokens + prompt.totalTokens - shared + call.answerTokens <= capacityTokens
    }

    /** Returns how many tokens at the start of the prompt are cached, and holds those entries for [call]. */
    fun admit(call: EngineCall): Int {
        val prompt = call.prompt
        var count = 0
        while (count < prompt.chainHashes.size && isCached(prompt, count)) count++
        val cachedHashes = prompt.chainHashes.take(count)
        cache.markUsed(cachedHashes)
        call.heldHashes = cache.hold(cachedHashes)
        return (0 until count).sumOf { prompt.tokens[it] }
    }

    /** Stores the whole prompt of [call] and holds it until [releaseHolds]. */
    fun storePrompt(call: EngineCall) {
        cache.release(call.heldHashes)
        cache.store(call.prompt.prefixes)
        cache.markUsed(call.prompt.chainHashes)
        call.heldHashes = cache.hold(call.prompt.chainHashes)
        lastPrompts[call.request.call.program] = call.prompt
    }

    /** Stores the answer, because the program's next prompt contains it. */
    fun storeAnswer(call: EngineCall) {
        val parent = call.prompt.chainHashes.lastOrNull() ?: return
        answerFingerprints[parent] = EnginePrompt.fingerprintOf(call.text.toString())
        cache.store(listOf(CachedPrefix(ANSWER_PREFIX + parent, textTokens(call.text.toString()) + 4)))
    }

    fun releaseHolds(call: EngineCall) {
        cache.release(call.heldHashes)
        call.heldHashes = emptyList()
    }

    /** Pins the last prompt of [program] and its answer. False if this engine has no prompt of the program. */
    fun pin(
        program: ProgramId,
        pinMillis: Long,
    ): Boolean {
        val prompt = lastPrompts[program] ?: return false
        release(program)
        val answer =
            prompt.chainHashes
                .lastOrNull()
                ?.let { listOf(ANSWER_PREFIX + it) }
                .orEmpty()
        pins[program] = Pin(cache.hold(prompt.chainHashes + answer), clock() + pinMillis)
        return true
    }

    fun release(program: ProgramId) {
        pins.remove(program)?.let { cache.release(it.heldHashes) }
    }

    fun pinnedPrograms(): Set<ProgramId> {
        expirePins()
        return pins.keys.toSet()
    }

    fun expirePins() {
        val now = clock()
        pins.filterValues { it.expiresAtMillis <= now }.keys.forEach(::release)
    }

    fun export(program: ProgramId): ExportedCache? {
        val prompt = lastPrompts[program] ?: return null
        val cachedHashes = prompt.chainHashes.takeWhile { it in cache }
        return ExportedCache(program, cachedHashes, cachedHashes.indices.sumOf { prompt.tokens[it].toLong() })
    }

    /** Spreads the tokens evenly over the messages, because an export doesn't contain the sizes of single messages. */
    fun import(exported: ExportedCache) {
        val hashes = exported.chainHashes
        if (hashes.isEmpty()) return
        val tokensPerMessage = (exported.tokens / hashes.size).toInt()
        val remainder = (exported.tokens % hashes.size).toInt()
        val prefixes = hashes.mapIndexed { index, hash -> CachedPrefix(hash, tokensPerMessage + if (index == 0) remainder else 0) }
        cache.store(prefixes)
        cache.markUsed(hashes)
        lastPrompts[exported.program] =
            EnginePrompt(
                hashes,
                IntArray(hashes.size) { prefixes[it].tokens },
                LongArray(hashes.size),
                isPoison = false,
                requestedTokens = null,
            )
    }

    fun eventsAfter(
        sequence: Long,
        incarnation: String,
    ): CacheEventBatch = events.batchAfter(sequence, incarnation)

    fun clear() {
        cache.clear()
        events.clear()
        pins.clear()
        answerFingerprints.clear()
        lastPrompts.clear()
    }

    /**
     * An answer that this engine generated is stored under the chain hash of its prompt until a later prompt contains it; then
     * the entry is renamed to the chain hash of the answer message.
     */
    private fun isCached(
        prompt: EnginePrompt,
        index: Int,
    ): Boolean {
        val hash = prompt.chainHashes[index]
        if (hash in cache) return true
        val parent = prompt.chainHashes.getOrNull(index - 1) ?: return false
        val fingerprint = prompt.answerFingerprint(index) ?: return false
        if (answerFingerprints[parent] != fingerprint || ANSWER_PREFIX + parent !in cache) return false
        cache.rename(ANSWER_PREFIX + parent, hash)
        return true
    }

    private companion object {
        const val ANSWER_PREFIX = "answer:"

        /** Bounds the memory for programs that never end. */
        const val MAX_REMEMBERED_PROGRAMS = 20_000

        fun <K, V> boundedMap(): LinkedHashMap<K, V> =
            object : LinkedHashMap<K, V>() {
                override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > MAX_REMEMBERED_PROGRAMS
            }
    }
}
