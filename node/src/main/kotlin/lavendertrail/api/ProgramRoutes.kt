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

/** Routes under `/v1/programs` that respond without a stream. */
internal class ProgramRoutes(
    private val context: RouteContext,
    private val ids: ProgramIds,
    private val state: () -> NodeState,
) {
    val routes: RoutingHttpHandler =
        routes(
            "/v1/programs" bind Method.POST to ::open,
            "/v1/programs/{id}/subagents" bind Method.POST to ::openChild,
            "/v1/programs/{id}/tools" bind Method.POST to ::callTool,
            "/v1/programs/{id}/tool-results" bind Method.POST to ::recordToolResult,
            "/v1/programs/{id}/end" bind Method.POST to ::end,
            "/v1/programs/{id}/history" bind Method.GET to ::history,
        )

    private fun open(request: Request): Response {
        val account = context.authentication.account(request)
        val body = ApiJson.read(request, OpenBody.serializer(), context.limits.maxJsonDepth)
        if (body.account != account.account.value) throw notAllowed("the token does not belong to account '${body.account}'")
        val spec = programSpec(account, body.assistant, body.budget, body.serviceClass, body.deadlineMillis).copy(openKey = body.openKey)
        val program = ids.createProgramId(account.account, body.openKey)
        context.submit(SubmitRequest.Open(program, spec))
        context.cacheAccount(program, account.account)
        return jsonResponse(OpenedAnswer.serializer(), OpenedAnswer(program.value), Status.CREATED)
    }

    private fun openChild(request: Request): Response {
        val account = context.authentication.account(request)
        val parent = context.programOf(request)
        context.requireOwnProgram(parent, account)
        val body = ApiJson.read(request, SubagentBody.serializer(), context.limits.maxJsonDepth)
        if (body.number !in 0..MAX_CHILD_NUMBER) throw badRequest("number must be in 0..$MAX_CHILD_NUMBER, was ${body.number}")
        val child = context.programId("$parent.${body.number}")
        val spec = programSpec(account, body.assistant, body.budget, body.serviceClass, body.deadlineMillis)
        context.submit(SubmitRequest.OpenChild(parent, body.number, spec))
        return jsonResponse(OpenedAnswer.serializer(), OpenedAnswer(child.value), Status.CREATED)
    }

    private fun callTool(request: Request): Response {
        val account = context.authentication.account(request)
        val body = ApiJson.read(request, ToolBody.serializer(), context.limits.maxJsonDepth)
        if (body.tool.isBlank()) throw badRequest("tool must not be blank")
        val call = CallBody.ToolCall(ToolId(body.tool), body.arguments.asText())
        return submitCall(request, account, body.position, call, body.repeatable, body.key, body.deadlineMillis)
    }

    private fun recordToolResult(request: Request): Response {
        val account = context.authentication.account(request)
        val body = ApiJson.read(request, ToolResultBody.serializer(), context.limits.maxJsonDepth)
        val call = CallBody.ToolResult(body.tool, body.content)
        return submitCall(request, account, body.position, call, repeatable = true, key = null, body.deadlineMillis)
    }

    private fun submitCall(
        request: Request,
        account: AccountRecord,
        position: Int,
        body: CallBody,
        repeatable: Boolean,
        key: String?,
        deadlineMillis: Long?,
    ): Response {
        val call = context.callId(context.programOf(request), position)
        if (!repeatable && key.isNullOrBlank()) throw badRequest("a call that is not repeatable needs a 'key'")
        val deadline = context.resolveDeadlineMillis(deadlineMillis)
        val callRequest = CallRequest(call, account.account, body, repeatable, key, deadline)
        val reply = context.submit(SubmitRequest.Call(callRequest, stream = false), deadline)
        return answerResponse(call, reply)
    }

    private fun end(request: Request): Response {
        val account = context.authentication.account(request)
        val program = context.programOf(request)
        context.requireOwnProgram(program, account)
        val maxDepth = context.limits.maxJsonDepth
        val body = if (request.bodyString().isBlank()) EndBody() else ApiJson.read(request, EndBody.serializer(), maxDepth)
        val ended = context.submit(SubmitRequest.End(program, body.reason)) as SubmitReply.Ended
        return jsonResponse(EndedAnswer.serializer(), EndedAnswer(program.value, ended.total))
    }

    private fun history(request: Request): Response {
        val account = context.authentication.account(request)
        val program = context.programOf(request)
        context.requireOwnProgram(program, account)
        val history = context.submit(SubmitRequest.History(program)) as SubmitReply.History
        return jsonResponse(HistoryAnswer.serializer(), HistoryAnswer(program.value, history.records))
    }

    /** Fields that the caller omits get their defaults from the assistant's record. */
    private fun programSpec(
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
        const val MAX_CHILD_NUMBER = 9_999
    }
}

internal fun answerResponse(
    call: CallId,
    reply: SubmitReply,
): Response {
    val result = (reply as SubmitReply.Call).result as CallResult.Answered
    val answer = CallAnswer(call, RunOutcome.RUN, result.text, result.usage, result.server?.value)
    return jsonResponse(CallAnswer.serializer(), answer)
}

internal fun List<HistoryRecord>.openedSpec(): ProgramSpec? = (firstOrNull()?.payload as? HistoryPayload.Opened)?.spec

private fun JsonElement.asText(): String = if (this is JsonPrimitive && isString) content else toString()
