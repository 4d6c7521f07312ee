package lavendertrail.adapters

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import lavendertrail.ports.AttemptError
import lavendertrail.ports.Generated
import lavendertrail.reducer.AttemptFailure
import java.io.InputStream

/**
 * Reads an engine's server-sent events. [onText] gets each piece of text with its offset in the answer. An answer is
 * whole only with usage and the `[DONE]` mark; a stream that just ends was cut.
 */
internal class EngineEvents(
    private val stream: InputStream,
    private val onText: (Int, String) -> Unit,
) {
    private var offset = 0
    private var usage: ChatUsage? = null
    private var fields: AnswerFields? = null
    private var error: ChatError? = null
    private var done = false

    fun read(failed: (AttemptFailure, String) -> Result<Generated, AttemptError>): Result<Generated, AttemptError> {
        val lines = stream.bufferedReader()
        while (true) {
            val line = lines.readLine() ?: break
            if (line.startsWith(DATA)) take(line.substring(DATA.length).trim())
        }
        val reported = error
        val used = usage
        return when {
            reported != null -> failed(failureOf(reported), reported.message)
            !done -> failed(AttemptFailure.CONNECTION_LOST, "the stream ended before the answer did")
            used == null -> failed(AttemptFailure.ERROR, "the answer has no usage")
            else -> Ok(generated(used))
        }
    }

    private fun take(data: String) {
        if (data == DONE) {
            done = true
            return
        }
        val chunk = wireJson.decodeFromString<ChatChunk>(data)
        chunk.usage?.let { usage = it }
        chunk.lavendertrail?.let { fields = it }
        chunk.error?.let { error = it }
        val text =
            chunk.choices
                .firstOrNull()
                ?.delta
                ?.content ?: return
        onText(offset, text)
        offset += text.length
    }

    private fun generated(used: ChatUsage): Generated =
        Generated(
            promptTokens = used.promptTokens,
            cachedTokens = used.details.cachedTokens,
            generatedTokens = used.completionTokens,
            engineMillis = fields?.engineMillis ?: 0,
            load = fields?.load,
        )

    private fun failureOf(error: ChatError): AttemptFailure =
        if (error.type ==
            "deadline"
        ) {
            AttemptFailure.DEADLINE
        } else {
            AttemptFailure.ERROR
        }

    private companion object {
        const val DATA = "data:"
        const val DONE = "[DONE]"
    }
}
