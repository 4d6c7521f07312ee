package lavendertrail.standins

import lavendertrail.model.ProgramId
import lavendertrail.ports.CacheEventBatch
import lavendertrail.ports.ExportedCache
import kotlin.random.Random

/** Cache, pins and cache events of a stand-in engine. Not thread-safe; [EngineStandin] locks. */
internal class EngineMemory(
    settings: EngineSettings,
    random: Random,
    private val clock: () -> Long,
) {
    private class Pin(
        val held: List<String>,
        val expiresAtMillis: Long,
    )

    private val events = CacheEventLog(settings.realMillis(settings.cacheEventLagMillis), settings.cacheEventLossPercent, random, clock)
    private val cache =
        PrefixCache(settings.cacheCapacityTokens) { prefix, stored ->
            if (!prefix.chainHash.startsWith(ANSWER)) events.add(prefix, stored)
        }
    private val pins = LinkedHashMap<ProgramId, Pin>()
    private val answers = boundedMap<String, Long>()
    private val lastPrompts = boundedMap<ProgramId, EnginePrompt>()
    private val capacityTokens = settings.cacheCapacityTokens

    val usedTokens: Long get() = cache.usedTokens

    /** Whether prompt and answer of [call] can be held in addition to what is held now. */
    fun hasRoomFor(call: EngineCall): Boolean {
        val prompt = call.prompt
        val shared = prompt.chainHashes.indices.sumOf { if (cache.isHeld(prompt.chainHashes[it])) prompt.tokens[it] else 0 }
        return cache.heldTokens + prompt.totalTokens - shared + call.answerTokens <= capacityTokens
    }

    /** Tokens of the prompt's start that are cached; takes a hold of what is there for [call]. */
    fun admit(call: EngineCall): Int {
        val prompt = call.prompt
        var count = 0
        while (count < prompt.chainHashes.size && isCached(prompt, count)) count++
        val here = prompt.chainHashes.take(count)
        cache.touch(here)
        call.held = cache.hold(here)
        return (0 until count).sumOf { prompt.tokens[it] }
    }

    /** Stores the whole prompt of [call] and holds it until [end]. */
    fun prefilled(call: EngineCall) {
        cache.letGo(call.held)
        cache.store(call.prompt.prefixes)
        cache.touch(call.prompt.chainHashes)
        call.held = cache.hold(call.prompt.chainHashes)
        lastPrompts[call.request.call.program] = call.prompt
    }

    /** Stores the answer, which is a part of the program's next prompt. */
    fun answered(call: EngineCall) {
        val parent = call.prompt.chainHashes.lastOrNull() ?: return
        answers[parent] = EnginePrompt.markOf(call.text.toString())
        cache.store(listOf(CachedPrefix(ANSWER + parent, textTokens(call.text.toString()) + 4)))
    }

    fun end(call: EngineCall) {
        cache.letGo(call.held)
        call.held = emptyList()
    }

    /** False where nothing is known of the program. */
    fun pin(
        program: ProgramId,
        pinMillis: Long,
    ): Boolean {
        val prompt = lastPrompts[program] ?: return false
        release(program)
        val answer =
            prompt.chainHashes
                .lastOrNull()
                ?.let { listOf(ANSWER + it) }
                .orEmpty()
        pins[program] = Pin(cache.hold(prompt.chainHashes + answer), clock() + pinMillis)
        return true
    }

    fun release(program: ProgramId) {
        pins.remove(program)?.let { cache.letGo(it.held) }
    }

    fun pinned(): Set<ProgramId> {
        expirePins()
        return pins.keys.toSet()
    }

    fun expirePins() {
        val now = clock()
        pins.filterValues { it.expiresAtMillis <= now }.keys.forEach(::release)
    }

    fun export(program: ProgramId): ExportedCache? {
        val prompt = lastPrompts[program] ?: return null
        val here = prompt.chainHashes.takeWhile { it in cache }
        return ExportedCache(program, here, here.indices.sumOf { prompt.tokens[it].toLong() })
    }

    /** The sizes of single messages are not part of an export, so the tokens are spread evenly. */
    fun import(exported: ExportedCache) {
        val hashes = exported.chainHashes
        if (hashes.isEmpty()) return
        val each = (exported.tokens / hashes.size).toInt()
        val rest = (exported.tokens % hashes.size).toInt()
        val prefixes = hashes.mapIndexed { index, hash -> CachedPrefix(hash, each + if (index == 0) rest else 0) }
        cache.store(prefixes)
        cache.touch(hashes)
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
    ): CacheEventBatch = events.after(sequence, incarnation)

    fun clear() {
        cache.clear()
        events.clear()
        pins.clear()
        answers.clear()
        lastPrompts.clear()
    }

    /** An answer that this engine generated is known by the prompt before it, until a prompt gives it a chain hash. */
    private fun isCached(
        prompt: EnginePrompt,
        index: Int,
    ): Boolean {
        val hash = prompt.chainHashes[index]
        if (hash in cache) return true
        val parent = prompt.chainHashes.getOrNull(index - 1) ?: return false
        val mark = prompt.answerMark(index) ?: return false
        if (answers[parent] != mark || ANSWER + parent !in cache) return false
        cache.rename(ANSWER + parent, hash)
        return true
    }

    private companion object {
        const val ANSWER = "answer:"

        /** Bounds what an engine remembers of programs that never end. */
        const val KEPT_PROGRAMS = 20_000

        fun <K, V> boundedMap(): LinkedHashMap<K, V> =
            object : LinkedHashMap<K, V>() {
                override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > KEPT_PROGRAMS
            }
    }
}
