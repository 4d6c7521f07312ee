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
 * Writes the answer of a call as server-sent events. The id of an event is the number of answer bytes that the caller has
 * received after it, so that `Last-Event-ID` requests the rest. An event `rewind` discards the text after its byte offset: the
 * call was run again and gave different text. The last event carries usage and outcome, or is an `error` event with the refusal.
 */
internal class EventStream(
    private val call: CallId,
    private val model: String,
    private val output: ChunkStream,
    private var sentBytes: Long,
) {
    fun sendText(text: SubmitReply.Text) {
        if (text.offsetBytes < sentBytes) sendRewind(text.offsetBytes)
        if (text.text.isEmpty()) return
        sentBytes = text.offsetBytes + text.text.toByteArray().size
        val answer = chatChunk(ChatChoice(delta = ChatDelta(text.text)))
        sendEvent(null, sentBytes, ApiJson.encode(ChatAnswer.serializer(), answer))
    }

    /** Sends the rest of the text and the last event, then ends the stream. */
    fun finish(reply: SubmitReply) {
        val result = (reply as? SubmitReply.Call)?.result
        if (result is CallResult.Answered) finishAnswered(result) else reply.refusalOrNull()?.let(::finishRefused)
        output.end()
    }

    private fun finishAnswered(result: CallResult.Answered) {
        val bytes = result.text.toByteArray()
        if (sentBytes < bytes.size) sendText(SubmitReply.Text(sentBytes, bytes.decodeToString(sentBytes.toInt(), bytes.size)))
        if (sentBytes > bytes.size) sendRewind(bytes.size.toLong())
        val last =
            chatChunk(ChatChoice(delta = ChatDelta(), finishReason = "stop"))
                .copy(usage = result.usage.toChatUsage(), lavendertrail = outcomeOf(call, result))
        sendEvent(null, sentBytes, ApiJson.encode(ChatAnswer.serializer(), last))
    }

    private fun finishRefused(refusal: Refusal): Unit = sendEvent("error", sentBytes, ApiJson.encode(Refusal.serializer(), refusal))

    private fun sendRewind(toByte: Long) {
        sentBytes = toByte
        sendEvent("rewind", toByte, """{"to_byte":$toByte}""")
    }

    private fun chatChunk(choice: ChatChoice): ChatAnswer = ChatAnswer(call.toString(), "chat.completion.chunk", model, listOf(choice))

    private fun sendEvent(
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

/** Decodes the body of a call from its start record. */
internal fun HistoryRecord.callBody(): CallBody = bodyJson.decodeFromString(CallBody.serializer(), content.orEmpty())
