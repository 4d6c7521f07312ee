package lavendertrail.adapters

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import lavendertrail.ports.AttemptError
import lavendertrail.ports.Generated
import lavendertrail.reducer.AttemptFailure
import java.io.InputStream

/**
 * Reads the server-sent events of an engine. [onText] receives each piece of text with its character offset in the answer. An
 * answer is complete only with usage and the `[DONE]` event; a stream that ends without them was interrupted.
 */
internal class EngineEvents(
    private val stream: InputStream,
    private val onText: (Int, String) -> Unit,
) {
    private var offset = 0
    private var usage: ChatUsage? = null
    private var fields: AnswerFields? = null
    private var error: ChatError? = null
    private var isDone = false

    fun read(toFailure: (AttemptFailure, String) -> Result<Generated, AttemptError>): Result<Generated, AttemptError> {
        val lines = stream.bufferedReader()
        while (true) {
            val line = lines.readLine() ?: break
            if (line.startsWith(DATA)) handleEvent(line.substring(DATA.length).trim())
        }
        val reportedError = error
        val reportedUsage = usage
        return when {
            reportedError != null -> toFailure(failureOf(reportedError), reportedError.message)
            !isDone -> toFailure(AttemptFailure.CONNECTION_LOST, "the stream ended before the answer was complete")
            reportedUsage == null -> toFailure(AttemptFailure.ERROR, "the answer reports no usage")
            else -> Ok(toGenerated(reportedUsage))
        }
    }

    private fun handleEvent(data: String) {
        if (data == DONE) {
            isDone = true
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

    private fun toGenerated(reported: ChatUsage): Generated =
        Generated(
            promptTokens = reported.promptTokens,
            cachedTokens = reported.details.cachedTokens,
            generatedTokens = reported.completionTokens,
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
