package lavendertrail.api

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import lavendertrail.config.AccountRecord
import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.Budget
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramSpec
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServiceClass
import lavendertrail.model.ToolId
import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import lavendertrail.reducer.NodeState
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.routes

/** Routes under `/v1/programs`, without streams. */
internal class ProgramRoutes(
    private val entry: Entry,
    private val ids: ProgramIds,
    private val state: () -> NodeState,
) {
    val routes: RoutingHttpHandler =
        routes(
            "/v1/programs" bind Method.POST to ::open,
            "/v1/programs/{id}/subagents" bind Method.POST to ::openChild,
            "/v1/programs/{id}/tools" bind Method.POST to ::callTool,
            "/v1/programs/{id}/tool-results" bind Method.POST to ::recordResult,
            "/v1/programs/{id}/end" bind Method.POST to ::end,
            "/v1/programs/{id}/history" bind Method.GET to ::history,
        )

    private fun open(request: Request): Response {
        val account = entry.authentication.account(request)
        val body = ApiJson.read(request, OpenBody.serializer(), entry.limits.maxJsonDepth)
        if (body.account != account.account.value) throw notAllowed("the token belongs to another account than '${body.account}'")
        val spec = spec(account, body.assistant, body.budget, body.serviceClass, body.deadlineMillis).copy(openKey = body.openKey)
        val program = ids.open(account.account, body.openKey)
        entry.submit(SubmitRequest.Open(program, spec))
        entry.remember(program, account.account)
        return jsonResponse(OpenedAnswer.serializer(), OpenedAnswer(program.value), Status.CREATED)
    }

    private fun openChild(request: Request): Response {
        val account = entry.authentication.account(request)
        val parent = entry.programOf(request)
        entry.requireOwn(parent, account)
        val body = ApiJson.read(request, SubagentBody.serializer(), entry.limits.maxJsonDepth)
        if (body.number !in 0..MAX_CHILD) throw badRequest("number must be in 0..$MAX_CHILD, was ${body.number}")
        val child = entry.programId("$parent.${body.number}")
        val spec = spec(account, body.assistant, body.budget, body.serviceClass, body.deadlineMillis)
        entry.submit(SubmitRequest.OpenChild(parent, body.number, spec))
        return jsonResponse(OpenedAnswer.serializer(), OpenedAnswer(child.value), Status.CREATED)
    }

    private fun callTool(request: Request): Response {
        val account = entry.authentication.account(request)
        val body = ApiJson.read(request, ToolBody.serializer(), entry.limits.maxJsonDepth)
        if (body.tool.isBlank()) throw badRequest("tool must not be blank")
        val call = CallBody.ToolCall(ToolId(body.tool), body.arguments.asText())
        return call(request, account, body.position, call, body.repeatable, body.key, body.deadlineMillis)
    }

    private fun recordResult(request: Request): Response {
        val account = entry.authentication.account(request)
        val body = ApiJson.read(request, ToolResultBody.serializer(), entry.limits.maxJsonDepth)
        val call = CallBody.ToolResult(body.tool, body.content)
        return call(request, account, body.position, call, repeatable = true, key = null, body.deadlineMillis)
    }

    private fun call(
        request: Request,
        account: AccountRecord,
        position: Int,
        body: CallBody,
        repeatable: Boolean,
        key: String?,
        deadlineMillis: Long?,
    ): Response {
        val call = entry.callId(entry.programOf(request), position)
        if (!repeatable && key.isNullOrBlank()) throw badRequest("a call that must not repeat needs a 'key'")
        val deadline = entry.deadline(deadlineMillis)
        val submitted = CallRequest(call, account.account, body, repeatable, key, deadline)
        val reply = entry.submit(SubmitRequest.Call(submitted, stream = false), deadline)
        return answered(call, reply)
    }

    private fun end(request: Request): Response {
        val account = entry.authentication.account(request)
        val program = entry.programOf(request)
        entry.requireOwn(program, account)
        val body = if (request.bodyString().isBlank()) EndBody() else ApiJson.read(request, EndBody.serializer(), entry.limits.maxJsonDepth)
        val ended = entry.submit(SubmitRequest.End(program, body.reason)) as SubmitReply.Ended
        return jsonResponse(EndedAnswer.serializer(), EndedAnswer(program.value, ended.total))
    }

    private fun history(request: Request): Response {
        val account = entry.authentication.account(request)
        val program = entry.programOf(request)
        entry.requireOwn(program, account)
        val history = entry.submit(SubmitRequest.History(program)) as SubmitReply.History
        return jsonResponse(HistoryAnswer.serializer(), HistoryAnswer(program.value, history.records))
    }

    /** What the caller leaves out is taken from the assistant's record. */
    private fun spec(
        account: AccountRecord,
        assistant: String,
        budget: Budget?,
        serviceClass: ServiceClass?,
        deadlineMillis: Long?,
    ): ProgramSpec {
        val record = state().config.assistants[assistant] ?: throw badRequest("assistant '$assistant' is not configured")
        return ProgramSpec(
            owner = account.owner,
            account = account.account,
            assistant = assistant,
            serviceClass = serviceClass ?: record.serviceClass,
            budget = budget ?: record.budget,
            deadlineMillis = deadlineMillis,
        )
    }

    private companion object {
        const val MAX_CHILD = 9_999
    }
}

internal fun answered(
    call: CallId,
    reply: SubmitReply,
): Response {
    val result = (reply as SubmitReply.Call).result as CallResult.Answered
    val answer = CallAnswer(call, RunOutcome.RUN, result.text, result.usage, result.server?.value)
    return jsonResponse(CallAnswer.serializer(), answer)
}

internal fun List<HistoryRecord>.openedSpec(): ProgramSpec? = (firstOrNull()?.payload as? HistoryPayload.Opened)?.spec

private fun JsonElement.asText(): String = if (this is JsonPrimitive && isString) content else toString()
