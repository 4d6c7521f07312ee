package lavendertrail.standins

import com.github.michaelbull.result.get
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import lavendertrail.http.ChunkStream
import lavendertrail.http.HttpBinding
import lavendertrail.model.ToolId
import lavendertrail.ports.ToolRequest
import lavendertrail.reducer.AttemptFailure
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.URLDecoder

/** Serves [standin] at `POST /call` and `GET /calls/<key>`. The server is down from a crash until the restart. */
public fun serveTool(
    standin: ToolStandin,
    binding: HttpBinding = LOOPBACK,
): StandinServer {
    val server = StandinServer(binding) { request -> standin.handle(request) }
    standin.addCrashListener { restartMillis ->
        DelayScheduler.schedule(0) { server.takeDown() }
        DelayScheduler.schedule(restartMillis.coerceAtLeast(1)) { server.bringUp() }
    }
    return server
}

@Serializable
private data class CallBody(
    val tool: String,
    val key: String? = null,
    val arguments: String,
    val timeoutMillis: Long = 30_000,
)

@Serializable
private data class CallAnswer(
    val answer: String,
)

@Serializable
private data class StatusAnswer(
    val done: Boolean,
    val answer: String?,
)

private val json = Json { ignoreUnknownKeys = true }

private fun ToolStandin.handle(request: Request): Response {
    val path = request.uri.path
    return when {
        request.method == Method.POST && path == "/call" -> answerCall(request)
        request.method == Method.GET && path.startsWith("/calls/") -> answerStatus(path.removePrefix("/calls/"))
        else -> Response(Status.NOT_FOUND)
    }
}

private fun ToolStandin.answerStatus(encodedKey: String): Response {
    val status = status(URLDecoder.decode(encodedKey, Charsets.UTF_8)).get()
    return if (status == null) Response(Status.NOT_FOUND) else jsonResponse(json.encodeToString(StatusAnswer(status.done, status.answer)))
}

private fun ToolStandin.answerCall(request: Request): Response {
    val body =
        try {
            json.decodeFromString<CallBody>(request.bodyString())
        } catch (e: IllegalArgumentException) {
            return jsonResponse(e.message.orEmpty(), Status.BAD_REQUEST)
        }
    val run = startCall(ToolRequest(ToolId(body.tool), body.key, body.arguments, body.timeoutMillis))
    return if (run.fault in FAULTS_WITH_STATUS) run.outcome.join().toResponse() else run.toStream()
}

/** Faults with an HTTP status of their own. Their response can't start before the outcome is known. */
private val FAULTS_WITH_STATUS = setOf(ToolFault.ERROR, ToolFault.REJECT, ToolFault.BUSY)

private fun ToolRun.toStream(): Response {
    val stream = ChunkStream(holdHeaders = true)
    outcome.thenAccept { stream.finish(it) }
    return Response(Status.OK).header("content-type", "application/json").body(Body(stream))
}

private fun ChunkStream.finish(outcome: ToolOutcome) {
    if (outcome is ToolOutcome.Answer) {
        send(json.encodeToString(CallAnswer(outcome.text)))
        end()
    } else {
        abort()
    }
}

private fun ToolOutcome.toResponse(): Response =
    when (this) {
        is ToolOutcome.Answer -> jsonResponse(json.encodeToString(CallAnswer(text)))
        is ToolOutcome.Failure -> jsonResponse(message, failure.toStatus())
    }

private fun AttemptFailure.toStatus(): Status =
    when (this) {
        AttemptFailure.BUSY -> Status.TOO_MANY_REQUESTS
        AttemptFailure.REJECTED -> Status.UNPROCESSABLE_ENTITY
        else -> Status.INTERNAL_SERVER_ERROR
    }
