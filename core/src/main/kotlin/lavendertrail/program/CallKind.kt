package lavendertrail.program

import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.ProgramId

/** Values of `HistoryPayload.CallStarted.kind`. */
internal object CallKind {
    const val MODEL = "model"
    const val TOOL = "tool"
    const val TOOL_RESULT = "toolResult"

    /** A call whose idempotency key was used before; the target is the first call with that key. */
    const val SAME_KEY = "sameKey"
}

internal fun kindOf(body: CallBody): String =
    when (body) {
        is CallBody.ModelCall -> CallKind.MODEL
        is CallBody.ToolCall -> CallKind.TOOL
        is CallBody.ToolResult -> CallKind.TOOL_RESULT
    }

internal fun targetOf(body: CallBody): String =
    when (body) {
        is CallBody.ModelCall -> body.model.value
        is CallBody.ToolCall -> body.tool.value
        is CallBody.ToolResult -> body.tool
    }

/** Parses the output of [CallId.toString]. */
internal fun parseCallId(text: String): CallId = CallId(ProgramId(text.substringBeforeLast('/')), text.substringAfterLast('/').toInt())
