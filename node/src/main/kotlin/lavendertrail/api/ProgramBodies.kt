package lavendertrail.api

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import lavendertrail.history.HistoryRecord
import lavendertrail.model.Budget
import lavendertrail.model.CallId
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServiceClass
import lavendertrail.model.Usage

/** Body of `POST /v1/programs`. [deadlineMillis] is an absolute time in milliseconds since the epoch in all bodies of this file. */
@Serializable
internal data class OpenBody(
    val account: String,
    val assistant: String,
    val budget: Budget? = null,
    val serviceClass: ServiceClass? = null,
    val deadlineMillis: Long? = null,
    val openKey: String? = null,
)

/** Body of `POST /v1/programs/{id}/subagents`; [number] identifies the sub-agent, which makes opening it idempotent. */
@Serializable
internal data class SubagentBody(
    val number: Int,
    val assistant: String,
    val budget: Budget? = null,
    val serviceClass: ServiceClass? = null,
    val deadlineMillis: Long? = null,
)

/** Body of `POST /v1/programs/{id}/tools`. [arguments] is passed to the tool as JSON; a string is passed without quotes. */
@Serializable
internal data class ToolBody(
    val position: Int,
    val tool: String,
    val arguments: JsonElement,
    val repeatable: Boolean = false,
    val key: String? = null,
    val deadlineMillis: Long? = null,
)

/** Body of `POST /v1/programs/{id}/tool-results`: the result of a tool that the caller executed itself. */
@Serializable
internal data class ToolResultBody(
    val position: Int,
    val tool: String,
    val content: String,
    val deadlineMillis: Long? = null,
)

@Serializable
internal data class EndBody(
    val reason: String = "done",
)

@Serializable
internal data class OpenedAnswer(
    val program: String,
)

@Serializable
internal data class EndedAnswer(
    val program: String,
    val total: Usage,
)

@Serializable
internal data class HistoryAnswer(
    val program: String,
    val records: List<HistoryRecord>,
)

/** Response to a tool call, a recorded tool result, or a query for an earlier call. */
@Serializable
internal data class CallAnswer(
    val program: String,
    val position: Int,
    val outcome: RunOutcome,
    val text: String,
    val usage: Usage,
    val server: String? = null,
) {
    constructor(call: CallId, outcome: RunOutcome, text: String, usage: Usage, server: String?) :
        this(call.program.value, call.position, outcome, text, usage, server)
}
