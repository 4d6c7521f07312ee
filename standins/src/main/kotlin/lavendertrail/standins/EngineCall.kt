package lavendertrail.standins

import lavendertrail.model.CallId
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.reducer.AttemptFailure

/** How a call at the engine ended. */
internal sealed interface EngineEnd {
    data class Done(
        val generated: Generated,
    ) : EngineEnd

    data class Failed(
        val failure: AttemptFailure,
        val message: String,
    ) : EngineEnd
}

/** Receives a call's answer. Called with the engine's lock held, so it must not wait. */
internal interface EngineSink {
    fun text(text: String)

    /** A sign of life while there is no text. */
    fun keepAlive()

    fun end(end: EngineEnd)
}

/** One executed call, for checks that nothing ran twice. */
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
 * A call at a stand-in engine, from its arrival until its stream is forgotten. [request] comes without its messages,
 * which would fill the memory. Guarded by the engine's lock.
 */
internal class EngineCall(
    val request: GenerateRequest,
    val sequence: Long,
    val prompt: EnginePrompt,
    val answerTokens: Int,
    val answer: AnswerText,
) : Comparable<EngineCall> {
    val text = StringBuilder()
    var prefillLeft: Double = 0.0
    var cachedTokens: Int = 0
    var generatedTokens: Int = 0
    var held: List<String> = emptyList()
    var startedMillis: Long = 0
    var startedNanos: Long = 0
    var end: EngineEnd? = null
        private set

    private val sinks = mutableListOf<LimitedSink>()

    val isDecoding: Boolean get() = prefillLeft <= 0.0

    /** Lower priority numbers run first, as in vLLM; equal ones in the order of arrival. */
    override fun compareTo(other: EngineCall): Int = compareValuesBy(this, other, { it.request.priority }, { it.sequence })

    /** Replays what there is and adds [sink] for the rest. The sink gets nothing after [maxChunks] pieces. */
    fun attach(
        sink: EngineSink,
        maxChunks: Int?,
    ) {
        val limited = LimitedSink(sink, maxChunks)
        if (text.isNotEmpty()) limited.text(text.toString())
        val reached = end
        if (reached == null) sinks.add(limited) else limited.end(reached)
    }

    fun keepAlive(): Unit = sinks.forEach { it.keepAlive() }

    fun emit(piece: String) {
        text.append(piece)
        sinks.forEach { it.text(piece) }
    }

    fun finish(reached: EngineEnd) {
        if (end != null) return
        end = reached
        sinks.forEach { it.end(reached) }
        sinks.clear()
    }

    fun toExecuted(): ExecutedCall =
        ExecutedCall(
            call = request.call,
            attempt = request.attempt,
            startedMillis = startedMillis,
            promptTokens = prompt.totalTokens.toLong(),
            cachedTokens = cachedTokens.toLong(),
            generatedTokens = generatedTokens.toLong(),
            ended = end is EngineEnd.Done,
        )

    private class LimitedSink(
        private val sink: EngineSink,
        private val maxChunks: Int?,
    ) {
        private var chunks = 0

        fun text(text: String) {
            if (!isSilent) sink.text(text)
            chunks++
        }

        fun keepAlive() {
            if (!isSilent) sink.keepAlive()
        }

        fun end(end: EngineEnd) {
            if (!isSilent || end is EngineEnd.Failed) sink.end(end)
        }

        private val isSilent: Boolean get() = maxChunks != null && chunks >= maxChunks
    }
}
