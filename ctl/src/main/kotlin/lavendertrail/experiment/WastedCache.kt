package lavendertrail.experiment

import lavendertrail.standins.ExecutedCall

/** What the engines' ledgers say about a run. [wastedShare] is [wastedTokens] over [promptTokens]. */
internal data class CacheFigures(
    val promptTokens: Long,
    val cachedTokens: Long,
    val wastedTokens: Long,
) {
    val wastedShare: Double get() = if (promptTokens == 0L) 0.0 else wastedTokens.toDouble() / promptTokens
}

/** What a ledger entry can't tell of its program: the start of its prompts that others share, and when it ended. */
internal data class ProgramTrace(
    val sharedKey: String,
    val sharedTokens: Long,
    val endedMillis: Long,
)

/**
 * Prompt tokens that were computed although some engine had held them before for a program that was live at that time.
 * Of a program's own earlier calls the last one that ended counts, with prompt and answer; of other programs the shared
 * start of the prompt, if an earlier call of one that is still live had computed it. All numbers are those of the engines'
 * [ledgers]; an attempt that did not end has held nothing for sure.
 */
internal fun cacheFigures(
    ledgers: List<List<ExecutedCall>>,
    traces: Map<String, ProgramTrace>,
): CacheFigures {
    val calls = ledgers.flatten().sortedBy { it.startedMillis }
    val heldOfProgram = mutableMapOf<String, Long>()
    val liveUntil = mutableMapOf<String, Long>()
    var wasted = 0L
    for (call in calls) {
        val program = call.call.program.value
        val trace = traces[program]
        val own = heldOfProgram[program] ?: 0
        val isShared = trace != null && (liveUntil[trace.sharedKey] ?: Long.MIN_VALUE) >= call.startedMillis
        val held = maxOf(own, if (isShared) checkNotNull(trace).sharedTokens else 0)
        wasted += (minOf(held, call.promptTokens) - call.cachedTokens).coerceAtLeast(0)
        if (!call.ended) continue
        heldOfProgram[program] = maxOf(own, call.promptTokens + call.generatedTokens)
        if (trace != null) liveUntil.merge(trace.sharedKey, trace.endedMillis, ::maxOf)
    }
    return CacheFigures(calls.sumOf { it.promptTokens }, calls.sumOf { it.cachedTokens }, wasted)
}
