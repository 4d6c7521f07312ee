package lavendertrail.api

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.http.ChunkStream
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.node.BackgroundExecutor
import lavendertrail.node.CallerDisconnectedException
import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.RoutingHttpHandler
import org.http4k.routing.bind
import org.http4k.routing.path
import org.http4k.routing.routes
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.atomic.AtomicInteger

/** Routes for model calls, and for the result or stream of an earlier call. */
internal class CallRoutes(
    private val context: RouteContext,
    private val background: BackgroundExecutor,
) {
    private val streamCounter = AtomicInteger()

    /** Number of streams whose last event has not been written yet. */
    val openStreams: Int get() = streamCounter.get()

    val routes: RoutingHttpHandler =
        routes(
            "/v1/chat/completions" bind Method.POST to ::complete,
            "/v1/programs/{id}/calls/{position}" bind Method.GET to ::resume,
        )

    private fun complete(request: Request): Response {
        val account = context.authentication.account(request)
        val body = ApiJson.read(request, ChatBody.serializer(), context.limits.maxJsonDepth)
        val extension = body.lavendertrail
        if (!extension.repeatable && extension.key.isNullOrBlank()) throw badRequest("a call that is not repeatable needs a 'key'")
        val call = context.callId(context.programId(extension.program), extension.position)
        val deadline = context.resolveDeadlineMillis(extension.deadlineMillis)
        val submitted = CallRequest(call, account.account, body.toCallBody(), extension.repeatable, extension.key, deadline)
        if (body.stream) return stream(submitted, body.model, fromByte = 0)
        val reply = context.submit(SubmitRequest.Call(submitted, stream = false), deadline) as SubmitReply.Call
        return jsonResponse(ChatAnswer.serializer(), chatAnswer(call, body.model, reply.result as CallResult.Answered))
    }

    /** Returns the stored outcome of an earlier call, or the rest of its stream if it is still running. */
    private fun resume(request: Request): Response {
        val account = context.authentication.account(request)
        val program = context.programOf(request)
        context.requireOwnProgram(program, account)
        val position = request.path("position")?.toIntOrNull() ?: throw badRequest("position must be a number")
        val call = context.callId(program, position)
        val fromByte = request.fromByte()
        val history = context.submit(SubmitRequest.History(program)) as SubmitReply.History
        val started = history.records.startRecordOf(position) ?: throw notFound("call '$call' was not started")
        val payload = started.payload as HistoryPayload.CallStarted
        val submitted =
            CallRequest(
                call = call,
                account = account.account,
                body = started.callBody(),
                repeatable = payload.repeatable,
                key = payload.key,
                deadlineMillis = maxOf(payload.deadlineMillis, context.resolveDeadlineMillis(null)),
            )
        if (request.wantsStream()) return stream(submitted, payload.target, fromByte)
        return answerResponse(call, context.submit(SubmitRequest.Call(submitted, stream = false), submitted.deadlineMillis))
    }

    /**
     * Answers a call with an event stream. A refusal before the first text becomes an HTTP error; a refusal after it becomes
     * the last event of the stream.
     */
    private fun stream(
        call: CallRequest,
        model: String,
        fromByte: Long,
    ): Response {
        val body = ChunkStream()
        val events = EventStream(call.call, model, body, fromByte)
        val response = CompletableFuture<Response>()
        streamCounter.incrementAndGet()
        background.run("stream of ${call.call}") {
            try {
                val reply =
                    context.router.submit(SubmitRequest.Call(call, fromByte), call.deadlineMillis) { text ->
                        if (body.isClosed) throw CallerDisconnectedException()
                        events.sendText(text)
                        response.complete(eventStreamResponse(body))
                    }
                val refusal = reply.refusalOrNull()
                if (refusal != null && !response.isDone) response.complete(refusal.toResponse()) else events.finish(reply)
                response.complete(eventStreamResponse(body))
            } catch (_: CallerDisconnectedException) {
                body.end()
            } catch (fault: RuntimeException) {
                body.end()
                response.completeExceptionally(fault)
            } finally {
                streamCounter.decrementAndGet()
            }
        }
        return try {
            response.get()
        } catch (fault: ExecutionException) {
            throw fault.cause ?: fault
        }
    }
}

private fun eventStreamResponse(body: ChunkStream): Response =
    Response(Status.OK)
        .header("Content-Type", "text/event-stream; charset=utf-8")
        .header("Cache-Control", "no-store")
        .body(org.http4k.core.Body(body, null))

private fun ChatBody.toCallBody(): CallBody.ModelCall {
    if (model.isBlank()) throw badRequest("model must not be blank")
    if (messages.isEmpty()) throw badRequest("messages must not be empty")
    if (maxTokens <= 0) throw badRequest("max_tokens must be positive, was $maxTokens")
    if (temperature.isNaN() || temperature !in 0.0..MAX_TEMPERATURE) throw badRequest("temperature must be in 0..2, was $temperature")
    messages.firstOrNull { it.role !in ROLES }?.let { throw badRequest("role must be one of $ROLES, was '${it.role.take(40)}'") }
    return CallBody.ModelCall(ModelId(model), messages, maxTokens, temperature)
}

private const val MAX_TEMPERATURE = 2.0
private val ROLES = setOf("system", "user", "assistant", "tool")

private fun chatAnswer(
    call: CallId,
    model: String,
    result: CallResult.Answered,
): ChatAnswer =
    ChatAnswer(
        id = call.toString(),
        type = "chat.completion",
        model = model,
        choices = listOf(ChatChoice(message = Message("assistant", result.text), finishReason = "stop")),
        usage = result.usage.toChatUsage(),
        lavendertrail = outcomeOf(call, result),
    )

private fun Request.wantsStream(): Boolean =
    query("stream") == "true" || header("Accept")?.contains("text/event-stream") == true || header("Last-Event-ID") != null

private fun Request.fromByte(): Long {
    val value = query("fromByte") ?: header("Last-Event-ID") ?: return 0
    return value.toLongOrNull()?.takeIf { it >= 0 } ?: throw badRequest("byte offset must be an integer >= 0, was '${value.take(40)}'")
}

private fun List<HistoryRecord>.startRecordOf(position: Int): HistoryRecord? =
    firstOrNull { (it.payload as? HistoryPayload.CallStarted)?.position == position }
