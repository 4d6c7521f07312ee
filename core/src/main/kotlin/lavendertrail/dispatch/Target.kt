package lavendertrail.dispatch

import lavendertrail.model.CallBody
import lavendertrail.model.ModelId
import lavendertrail.model.ToolId

/** The model or tool that calls are queued for. All calls of a target have the same candidate servers. */
internal sealed interface Target {
    data class Model(
        val model: ModelId,
    ) : Target {
        override fun toString(): String = "model $model"
    }

    data class Tool(
        val tool: ToolId,
    ) : Target {
        override fun toString(): String = "tool $tool"
    }
}

internal fun targetOf(body: CallBody): Target? =
    when (body) {
        is CallBody.ModelCall -> Target.Model(body.model)
        is CallBody.ToolCall -> Target.Tool(body.tool)
        is CallBody.ToolResult -> null
    }
