package lavendertrail.standins

import java.util.PriorityQueue
import kotlin.math.max
import kotlin.math.min

/** What a [StepLoop] tells its engine. Called with the engine's lock held. */
internal interface StepListener {
    /** The call was admitted; it must set [EngineCall.prefillLeft]. False where the call was ended instead. */
    fun onAdmitted(call: EngineCall): Boolean

    fun onPrefilled(call: EngineCall)

    /** All tokens are there. */
    fun onGenerated(call: EngineCall)
}

/**
 * Continuous batching as arithmetic. In each step every decoding call gets one token, and prompts are computed in the
 * order of admission for as long as the step lasts. Calls join and leave the batch between steps. Not thread-safe.
 */
internal class StepLoop(
    private val settings: EngineSettings,
    private val listener: StepListener,
    private val mayAdmit: (EngineCall, Boolean) -> Boolean,
) {
    val waiting = PriorityQueue<EngineCall>()
    val running = mutableListOf<EngineCall>()

    val isIdle: Boolean get() = waiting.isEmpty() && running.isEmpty()

    private var stepPrefill = 0.0

    /** Admits calls and returns how long the next step takes, in milliseconds of the model; null with nothing to run. */
    fun begin(slowFactor: Double): Double? {
        admit()
        if (running.isEmpty()) return null
        val decoding = running.count { it.isDecoding }
        val prefillLeft = running.sumOf { max(0.0, it.prefillLeft) }
        val ratePerMilli = settings.prefillTokensPerSecond / 1_000
        val millis =
            if (decoding > 0) {
                1_000 / settings.decodeTokensPerSecond * (1 + settings.decodeSlowdownPerCall * (decoding - 1))
            } else {
                min(firstPrefill() / ratePerMilli, MAX_PREFILL_STEP_MILLIS)
            }
        stepPrefill = min(prefillLeft, millis * ratePerMilli)
        return millis * slowFactor
    }

    /** Applies the step that [begin] planned. */
    fun finish() {
        val decoding = running.filter { it.isDecoding }
        prefill(stepPrefill)
        decoding.forEach(::decode)
        running.removeAll { it.end != null }
    }

    fun remove(call: EngineCall) {
        waiting.remove(call)
        running.remove(call)
    }

    fun clear(): List<EngineCall> {
        val all = running + waiting
        running.clear()
        waiting.clear()
        return all
    }

    private fun admit() {
        while (running.size < settings.maxRunningCalls) {
            val next = waiting.peek() ?: return
            if (!mayAdmit(next, running.isEmpty())) return
            waiting.poll()
            if (listener.onAdmitted(next)) running.add(next)
        }
    }

    private fun firstPrefill(): Double = running.first { !it.isDecoding }.prefillLeft

    private fun prefill(tokens: Double) {
        var left = tokens
        for (call in running) {
            if (call.isDecoding) continue
            val part = min(left, call.prefillLeft)
            call.prefillLeft -= part
            left -= part
            if (call.prefillLeft <= ROUNDING) {
                call.prefillLeft = 0.0
                listener.onPrefilled(call)
                decode(call)
            }
            if (left <= 0) return
        }
    }

    /** The first token comes with the end of the prefill. */
    private fun decode(call: EngineCall) {
        if (call.end != null) return
        call.emit(call.answer.token(call.generatedTokens))
        call.generatedTokens++
        if (call.generatedTokens >= call.answerTokens) listener.onGenerated(call)
    }

    private companion object {
        /** So that a call that arrives during a long prefill is admitted soon. */
        const val MAX_PREFILL_STEP_MILLIS = 50.0
        const val ROUNDING = 1e-6
    }
}
