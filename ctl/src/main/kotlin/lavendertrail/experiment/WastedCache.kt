package lavendertrail.experiment

import lavendertrail.standins.ExecutedCall

/** Cache use of a run according to the engines' ledgers. [wastedShare] is [wastedTokens] over [promptTokens]. */
internal data class CacheStats(
    val promptTokens: Long,
    val cachedTokens: Long,
    val wastedTokens: Long,
) {
    val wastedShare: Double get() = if (promptTokens == 0L) 0.0 else wastedTokens.toDouble() / promptTokens
}

/**
 * Facts about a program that the ledger entries lack: the prefix of its prompts that other programs share, identified by
 * [sharedKey], and when the program ended.
 */
internal data class ProgramCacheTrace(
    val sharedKey: String,
    val sharedTokens: Long,
    val endedMillis: Long,
)

/**
 * Counts as wasted the prompt tokens that were computed although an engine had cached them before for a program that was still
 * live. For the program's own earlier calls this is the longest prompt and answer of a call that ended. For other programs it is
 * the shared prefix, if an earlier call of a program that is still live had computed it. All numbers come from the engines'
 * [ledgers]. Attempts that did not end don't count as cached, because it isn't certain what they left in the cache.
 */
internal fun cacheStats(
    ledgers: List<List<ExecutedCall>>,
    traces: Map<String, ProgramCacheTrace>,
): CacheStats {
    val calls = ledgers.flatten().sortedBy { it.startedMillis }
    val cachedTokensOfProgram = mutableMapOf<String, Long>()
    val liveUntil = mutableMapOf<String, Long>()
    var wasted = 0L
    for (call in calls) {
        val program = call.call.program.value
        val trace = traces[program]
        val ownTokens = cachedTokensOfProgram[program] ?: 0
        val isShared = trace != null && (liveUntil[trace.sharedKey] ?: Long.MIN_VALUE) >= call.startedMillis
        val cacheableTokens = maxOf(ownTokens, if (isShared) checkNotNull(trace).sharedTokens else 0)
        wasted += (minOf(cacheableTokens, call.promptTokens) - call.cachedTokens).coerceAtLeast(0)
        if (!call.ended) continue
        cachedTokensOfProgram[program] = maxOf(ownTokens, call.promptTokens + call.generatedTokens)
        if (trace != null) liveUntil.merge(trace.sharedKey, trace.endedMillis, ::maxOf)
    }
    return CacheStats(calls.sumOf { it.promptTokens }, calls.sumOf { it.cachedTokens }, wasted)
}
