package lavendertrail.standins

import java.util.PriorityQueue
import kotlin.math.max
import kotlin.math.min

/** Callbacks from a [StepLoop] to its engine, called with the engine's lock held. */
internal interface StepListener {
    /** Admits [call] and sets [EngineCall.prefillTokensLeft]. False if the call was ended instead. */
    fun onAdmitted(call: EngineCall): Boolean

    fun onPrefillComplete(call: EngineCall)

    /** All tokens of the answer have been generated. */
    fun onAnswerComplete(call: EngineCall)
}

/**
 * Simulates continuous batching by computing step durations. In each step every decoding call gets one token, and prompts
 * are prefilled in the order of admission for the duration of the step. Calls join and leave the batch between steps. Not
 * thread-safe.
 */
internal class StepLoop(
    private val settings: EngineSettings,
    private val listener: StepListener,
    private val canAdmit: (EngineCall, Boolean) -> Boolean,
) {
    val waiting = PriorityQueue<EngineCall>()
    val running = mutableListOf<EngineCall>()

    val isIdle: Boolean get() = waiting.isEmpty() && running.isEmpty()

    private var stepPrefillTokens = 0.0

    /** Admits calls and returns the duration of the next step in simulated milliseconds, or null if no call is running. */
    fun planStep(slowFactor: Double): Double? {
        admit()
        if (running.isEmpty()) return null
        val decoding = running.count { it.isDecoding }
        val prefillTokensLeft = running.sumOf { max(0.0, it.prefillTokensLeft) }
        val tokensPerMilli = settings.prefillTokensPerSecond / 1_000
        val millis =
            if (decoding > 0) {
                1_000 / settings.decodeTokensPerSecond * (1 + settings.decodeSlowdownPerCall * (decoding - 1))
            } else {
                min(firstPrefillTokens() / tokensPerMilli, MAX_PREFILL_STEP_MILLIS)
            }
        stepPrefillTokens = min(prefillTokensLeft, millis * tokensPerMilli)
        return millis * slowFactor
    }

    /** Applies the step that [planStep] planned. */
    fun applyStep() {
        val decoding = running.filter { it.isDecoding }
        prefillBatch(stepPrefillTokens)
        decoding.forEach(::emitToken)
        running.removeAll { it.outcome != null }
    }

    fun remove(call: EngineCall) {
        waiting.remove(call)
        running.remove(call)
    }

    fun clear(): List<EngineCall> {
        val removed = running + waiting
        running.clear()
        waiting.clear()
        return removed
    }

    private fun admit() {
        while (running.size < settings.maxRunningCalls) {
            val next = waiting.peek() ?: return
            if (!canAdmit(next, running.isEmpty())) return
            waiting.poll()
            if (listener.onAdmitted(next)) running.add(next)
        }
    }

    private fun firstPrefillTokens(): Double = running.first { !it.isDecoding }.prefillTokensLeft

    private fun prefillBatch(tokens: Double) {
        var tokensLeft = tokens
        for (call in running) {
            if (call.isDecoding) continue
            val part = min(tokensLeft, call.prefillTokensLeft)
            call.prefillTokensLeft -= part
            tokensLeft -= part
            if (call.prefillTokensLeft <= ROUNDING_TOLERANCE_TOKENS) {
                call.prefillTokensLeft = 0.0
                listener.onPrefillComplete(call)
                emitToken(call)
            }
            if (tokensLeft <= 0) return
        }
    }

    /** Generates the next token. The end of the prefill yields the first one. */
    private fun emitToken(call: EngineCall) {
        if (call.outcome != null) return
        call.emit(call.answer.token(call.generatedTokens))
        call.generatedTokens++
        if (call.generatedTokens >= call.answerTokens) listener.onAnswerComplete(call)
    }

    private companion object {
        /** Bounds the step, so that a call that arrives during a long prefill is admitted soon. */
        const val MAX_PREFILL_STEP_MILLIS = 50.0
        const val ROUNDING_TOLERANCE_TOKENS = 1e-6
    }
}
