package lavendertrail.api

import kotlinx.serialization.json.Json
import lavendertrail.history.HistoryRecord
import lavendertrail.history.sha256Hex
import lavendertrail.http.ChunkStream
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.Refusal
import lavendertrail.model.RunOutcome
import lavendertrail.peer.SubmitReply

/**
 * Writes an answer as server-sent events. The id of an event is the number of answer bytes that the caller has after it,
 * so that `Last-Event-ID` asks for the rest. An event `rewind` takes back what follows its byte offset: a call was run
 * again and gave other text. The last event carries usage and outcome, or is an event `error` with the refusal.
 */
internal class EventStream(
    private val call: CallId,
    private val model: String,
    private val output: ChunkStream,
    private var sentBytes: Long,
) {
    fun text(text: SubmitReply.Text) {
        if (text.offsetBytes < sentBytes) rewind(text.offsetBytes)
        if (text.text.isEmpty()) return
        sentBytes = text.offsetBytes + text.text.toByteArray().size
        val answer = chunk(ChatChoice(delta = ChatDelta(text.text)))
        event(null, sentBytes, ApiJson.encode(ChatAnswer.serializer(), answer))
    }

    /** Sends what is missing of the whole text, then the last event. */
    fun finish(reply: SubmitReply) {
        val result = (reply as? SubmitReply.Call)?.result
        if (result is CallResult.Answered) answered(result) else reply.refusalOrNull()?.let(::refused)
        output.end()
    }

    private fun answered(result: CallResult.Answered) {
        val bytes = result.text.toByteArray()
        if (sentBytes < bytes.size) text(SubmitReply.Text(sentBytes, bytes.decodeToString(sentBytes.toInt(), bytes.size)))
        if (sentBytes > bytes.size) rewind(bytes.size.toLong())
        val last =
            chunk(ChatChoice(delta = ChatDelta(), finishReason = "stop"))
                .copy(usage = result.usage.toChatUsage(), lavendertrail = outcomeOf(call, result))
        event(null, sentBytes, ApiJson.encode(ChatAnswer.serializer(), last))
    }

    private fun refused(refusal: Refusal): Unit = event("error", sentBytes, ApiJson.encode(Refusal.serializer(), refusal))

    private fun rewind(toByte: Long) {
        sentBytes = toByte
        event("rewind", toByte, """{"to_byte":$toByte}""")
    }

    private fun chunk(choice: ChatChoice): ChatAnswer = ChatAnswer(call.toString(), "chat.completion.chunk", model, listOf(choice))

    private fun event(
        name: String?,
        id: Long,
        data: String,
    ) {
        val head = if (name == null) "" else "event: $name\n"
        output.send("${head}id: $id\ndata: $data\n\n")
    }
}

internal fun outcomeOf(
    call: CallId,
    result: CallResult.Answered,
): ChatOutcome =
    ChatOutcome(
        program = call.program.value,
        position = call.position,
        outcome = RunOutcome.RUN,
        server = result.server?.value,
        costMicros = result.usage.costMicros,
        textBytes = result.text.toByteArray().size,
        textSha256 = sha256Hex(result.text),
    )

internal fun SubmitReply.refusalOrNull(): Refusal? =
    when (this) {
        is SubmitReply.Refused -> refusal
        is SubmitReply.Call -> (result as? CallResult.Refused)?.refusal
        else -> null
    }

private val bodyJson = Json { ignoreUnknownKeys = true }

/** The body of a call as its record keeps it. */
internal fun HistoryRecord.callBody(): CallBody = bodyJson.decodeFromString(CallBody.serializer(), content.orEmpty())
