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

/** Serves [standin] by `POST /call` and `GET /calls/<key>`. A crash takes the server down until the restart. */
public fun serveTool(
    standin: ToolStandin,
    binding: HttpBinding = LOOPBACK,
): StandinServer {
    val server = StandinServer(binding) { request -> standin.handle(request) }
    standin.onCrash { restartMillis ->
        Delays.run(0) { server.down() }
        Delays.run(restartMillis.coerceAtLeast(1)) { server.up() }
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
    val run = run(ToolRequest(ToolId(body.tool), body.key, body.arguments, body.timeoutMillis))
    return if (run.fault in FAULTS_WITH_STATUS) run.end.join().toResponse() else run.toStream()
}

/** These end in a status of their own, so the response can't be started before the end is known. */
private val FAULTS_WITH_STATUS = setOf(ToolFault.ERROR, ToolFault.REJECT, ToolFault.BUSY)

private fun ToolRun.toStream(): Response {
    val stream = ChunkStream(holdHeaders = true)
    end.thenAccept { stream.finish(it) }
    return Response(Status.OK).header("content-type", "application/json").body(Body(stream))
}

private fun ChunkStream.finish(end: ToolEnd) {
    if (end is ToolEnd.Answer) {
        send(json.encodeToString(CallAnswer(end.text)))
        end()
    } else {
        abort()
    }
}

private fun ToolEnd.toResponse(): Response =
    when (this) {
        is ToolEnd.Answer -> jsonResponse(json.encodeToString(CallAnswer(text)))
        is ToolEnd.Failure -> jsonResponse(message, failure.toStatus())
    }

private fun AttemptFailure.toStatus(): Status =
    when (this) {
        AttemptFailure.BUSY -> Status.TOO_MANY_REQUESTS
        AttemptFailure.REJECTED -> Status.UNPROCESSABLE_ENTITY
        else -> Status.INTERNAL_SERVER_ERROR
    }
