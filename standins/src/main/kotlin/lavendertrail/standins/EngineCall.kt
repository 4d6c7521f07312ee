package lavendertrail.standins

import lavendertrail.model.CallId
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.reducer.AttemptFailure

/** How a call ended on the engine. */
internal sealed interface EngineOutcome {
    data class Completed(
        val generated: Generated,
    ) : EngineOutcome

    data class Failed(
        val failure: AttemptFailure,
        val message: String,
    ) : EngineOutcome
}

/** Receives the answer of a call. Its functions are called with the engine's lock held and must not block. */
internal interface EngineSink {
    fun onText(text: String)

    /** Called at intervals while there is no text, so that the stream doesn't run into the idle limit. */
    fun onKeepAlive()

    fun onEnd(outcome: EngineOutcome)
}

/** One execution of a call. Tests use it to check that no call ran twice. */
public data class ExecutedCall(
    public val call: CallId,
    public val attempt: Int,
    public val startedMillis: Long,
    public val promptTokens: Long,
    public val cachedTokens: Long,
    public val generatedTokens: Long,
    public val ended: Boolean,
)

/**
 * A call on a stand-in engine, from its arrival until its stream is evicted. [request] is stored without its messages to
 * save memory. Guarded by the engine's lock.
 */
internal class EngineCall(
    val request: GenerateRequest,
    val sequence: Long,
    val prompt: EnginePrompt,
    val answerTokens: Int,
    val answer: AnswerText,
) : Comparable<EngineCall> {
    val text = StringBuilder()
    var prefillTokensLeft: Double = 0.0
    var cachedTokens: Int = 0
    var generatedTokens: Int = 0
    var heldHashes: List<String> = emptyList()
    var startedMillis: Long = 0
    var startedNanos: Long = 0
    var outcome: EngineOutcome? = null
        private set

    private val sinks = mutableListOf<LimitedSink>()

    val isDecoding: Boolean get() = prefillTokensLeft <= 0.0

    /** Orders by priority, lower numbers first as in vLLM, then by arrival. */
    override fun compareTo(other: EngineCall): Int = compareValuesBy(this, other, { it.request.priority }, { it.sequence })

    /** Replays the text so far to [sink] and subscribes it to the rest. After [maxChunks] chunks the sink receives nothing more. */
    fun attach(
        sink: EngineSink,
        maxChunks: Int?,
    ) {
        val limited = LimitedSink(sink, maxChunks)
        if (text.isNotEmpty()) limited.onText(text.toString())
        val known = outcome
        if (known == null) sinks.add(limited) else limited.onEnd(known)
    }

    fun sendKeepAlive(): Unit = sinks.forEach { it.onKeepAlive() }

    fun emit(piece: String) {
        text.append(piece)
        sinks.forEach { it.onText(piece) }
    }

    fun finish(finalOutcome: EngineOutcome) {
        if (outcome != null) return
        outcome = finalOutcome
        sinks.forEach { it.onEnd(finalOutcome) }
        sinks.clear()
    }

    fun toExecutedCall(): ExecutedCall =
        ExecutedCall(
            call = request.call,
            attempt = request.attempt,
            startedMillis = startedMillis,
            promptTokens = prompt.totalTokens.toLong(),
            cachedTokens = cachedTokens.toLong(),
            generatedTokens = generatedTokens.toLong(),
            ended = outcome is EngineOutcome.Completed,
        )

    private class LimitedSink(
        private val sink: EngineSink,
        private val maxChunks: Int?,
    ) {
        private var chunks = 0

        fun onText(text: String) {
            if (!isMuted) sink.onText(text)
            chunks++
        }

        fun onKeepAlive() {
            if (!isMuted) sink.onKeepAlive()
        }

        fun onEnd(outcome: EngineOutcome) {
            if (!isMuted || outcome is EngineOutcome.Failed) sink.onEnd(outcome)
        }

        private val isMuted: Boolean get() = maxChunks != null && chunks >= maxChunks
    }
}
