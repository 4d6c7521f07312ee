package lavendertrail.program

import kotlinx.serialization.json.Json
import lavendertrail.history.HistoryPayload
import lavendertrail.history.sha256Hex
import lavendertrail.model.CallBody
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome

private val contentJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = true
    }

/** Canonical JSON of a call's body: fields in declaration order, with default values. */
internal fun encodeBody(body: CallBody): String = contentJson.encodeToString(CallBody.serializer(), body)

internal fun decodeBody(content: String): CallBody = contentJson.decodeFromString(CallBody.serializer(), content)

/** SHA-256 of the canonical JSON of [body]. Requests at the same position with equal hashes are duplicates of one call. */
public fun bodySha256(body: CallBody): String = sha256Hex(encodeBody(body))

/** Content of a `CallFinished` record: the answer's text or the refusal as JSON. */
internal fun contentOf(result: CallResult): String =
    when (result) {
        is CallResult.Answered -> result.text
        is CallResult.Refused -> contentJson.encodeToString(Refusal.serializer(), result.refusal)
    }

internal fun resultOf(
    finished: HistoryPayload.CallFinished,
    content: String,
): CallResult {
    val reason = finished.refusal ?: return CallResult.Answered(content, finished.usage, finished.server)
    val refusal =
        if (content.isEmpty()) {
            Refusal(finished.outcome, reason, "outcome of the first call with this key", step = "program replay")
        } else {
            contentJson.decodeFromString(Refusal.serializer(), content)
        }
    return CallResult.Refused(refusal)
}

/** The result that later requests for a settled call receive. */
internal fun resultOf(settled: HistoryPayload.Settled): CallResult =
    CallResult.Refused(
        Refusal(
            outcome = settled.outcome,
            reason = RefusalReason.UNRESOLVED,
            message = "settled by ${settled.settledBy}; the answer is unknown",
            step = "program settle",
        ),
    )

/** The messages that a call with [result] adds to the program's history; none for a call without an answer. */
internal fun messagesOf(
    body: CallBody?,
    result: CallResult,
): List<Message> =
    if (result !is CallResult.Answered) {
        emptyList()
    } else {
        when (body) {
            is CallBody.ModelCall -> body.messages + Message("assistant", result.text)
            is CallBody.ToolCall -> listOf(Message("tool", result.text))
            is CallBody.ToolResult -> listOf(Message("tool", body.content))
            null -> emptyList()
        }
    }

/** Whether a refused call may be submitted again at its position: the refusal suggests a retry, and repeating the call is safe. */
internal fun allowsRetry(
    result: CallResult,
    repeatable: Boolean,
): Boolean {
    val refusal = (result as? CallResult.Refused)?.refusal ?: return false
    return refusal.retryAfterMillis != null && (refusal.outcome == RunOutcome.NOT_RUN || repeatable)
}
