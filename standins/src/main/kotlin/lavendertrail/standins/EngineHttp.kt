package lavendertrail.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.json.Json
import lavendertrail.http.ChunkStream
import lavendertrail.http.HttpBinding
import lavendertrail.model.CallId
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.StepError
import lavendertrail.ports.ExportedCache
import lavendertrail.reducer.AttemptFailure
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Serves [standin] over the chat-completions protocol with its extensions. The server is down from a crash until the restart. */
public fun serveEngine(
    standin: EngineStandin,
    binding: HttpBinding = LOOPBACK,
): StandinServer {
    val server = StandinServer(binding, EngineHandler(standin)::handle)
    standin.addAvailabilityListener { isDown -> DelayScheduler.schedule(0) { if (isDown) server.takeDown() else server.bringUp() } }
    return server
}

/** Maps the HTTP requests of [serveEngine] to [engine]. */
internal class EngineHandler(
    private val engine: EngineStandin,
) {
    private val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    fun handle(request: Request): Response {
        if (engine.faults.hang) return hangingResponse()
        val path = request.uri.path
        return try {
            when {
                path == "/v1/chat/completions" -> generate(request)
                path.startsWith(STREAMS_PATH) -> handleStream(request, path.removePrefix(STREAMS_PATH).split("/"))
                path == "/load" -> engine.load().toResponse { json.encodeToString(it) }
                path.startsWith("/cache/") -> handleCache(request, path.removePrefix("/cache/"))
                path == "/models/load" -> loadModel(json.decodeFromString(request.bodyString()))
                else -> Response(Status.NOT_FOUND)
            }
        } catch (e: IllegalArgumentException) {
            jsonResponse(e.message.orEmpty(), Status.BAD_REQUEST)
        }
    }

    private fun generate(request: Request): Response {
        val body = json.decodeFromString<EngineChatBody>(request.bodyString())
        val stream = ChunkStream()
        return when (val submission = engine.core.submit(body.toRequest(), EventSink(stream))) {
            is Submission.Accepted -> eventStream(stream)
            is Submission.Rejected -> jsonResponse(submission.message, submission.toStatus())
            Submission.Hanging -> hangingResponse()
            Submission.Down -> abortedResponse()
        }
    }

    private fun handleStream(
        request: Request,
        segments: List<String>,
    ): Response {
        val program = segments.firstOrNull()?.let(ProgramId::parseOrNull) ?: return Response(Status.NOT_FOUND)
        val position = segments.getOrNull(1)?.toIntOrNull() ?: return Response(Status.NOT_FOUND)
        val call = CallId(program, position)
        return when {
            segments.getOrNull(2) == "resume" -> resume(call)
            request.method == Method.DELETE -> engine.cancel(call).toResponse { "{}" }
            engine.core.hasStream(call) -> jsonResponse("{}")
            else -> Response(Status.NOT_FOUND)
        }
    }

    private fun resume(call: CallId): Response {
        val stream = ChunkStream()
        return if (engine.core.resume(call, EventSink(stream)) == null) Response(Status.NOT_FOUND) else eventStream(stream)
    }

    private fun handleCache(
        request: Request,
        path: String,
    ): Response =
        when {
            path == "events" ->
                engine.cacheEvents(request.query("after")?.toLong() ?: 0).toResponse {
                    json.encodeToString(EngineEventsBody(it.incarnation, it.firstSequence, it.lastSequence, it.events))
                }

            path == "pins" -> engine.pins().toResponse { programs -> json.encodeToString(EnginePinsBody(programs.map { it.value })) }

            path.startsWith("pins/") -> handlePin(request, ProgramId(path.removePrefix("pins/")))

            path == "export" -> export(json.decodeFromString(request.bodyString()))

            path == "import" -> import(json.decodeFromString(request.bodyString()))

            else -> Response(Status.NOT_FOUND)
        }

    private fun handlePin(
        request: Request,
        program: ProgramId,
    ): Response =
        if (request.method == Method.DELETE) {
            engine.release(program).toResponse { "{}" }
        } else {
            engine.pin(program, json.decodeFromString<EnginePinBody>(request.bodyString()).pinMillis).toResponse { "{}" }
        }

    private fun export(body: EngineExportBody): Response =
        engine.exportCache(ProgramId(body.program)).toResponse {
            json.encodeToString(EngineCacheBody(it.program.value, it.chainHashes, it.tokens))
        }

    private fun import(body: EngineCacheBody): Response =
        engine.importCache(ExportedCache(ProgramId(body.program), body.chainHashes, body.tokens)).toResponse { "{}" }

    private fun loadModel(body: EngineLoadModelBody): Response =
        engine.loadModel(ModelId(body.model), body.fencingToken).mapBoth(
            { jsonResponse("{}") },
            {
                val isStaleToken = EngineStandin.STALE_TOKEN_MESSAGE in it.message
                jsonResponse(it.message, if (isStaleToken) Status.CONFLICT else Status.SERVICE_UNAVAILABLE)
            },
        )

    private fun eventStream(stream: ChunkStream): Response =
        Response(Status.OK)
            .header("content-type", "text/event-stream")
            .header("x-incarnation", engine.incarnation)
            .body(Body(stream))

    private fun <T> Result<T, StepError>.toResponse(toJson: (T) -> String): Response =
        mapBoth({ jsonResponse(toJson(it)).header("x-incarnation", engine.incarnation) }, { jsonResponse(it.message, Status.NOT_FOUND) })

    private fun Submission.Rejected.toStatus(): Status = if (failure == AttemptFailure.BUSY) Status.TOO_MANY_REQUESTS else Status.NOT_FOUND

    private companion object {
        const val STREAMS_PATH = "/v1/streams/"
    }

    /** Writes server-sent events. Text is not escaped, because the words of [AnswerText] need no JSON escapes. */
    private inner class EventSink(
        private val stream: ChunkStream,
    ) : EngineSink {
        override fun onText(text: String) {
            stream.send("data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"$text\"}}]}\n\n")
        }

        override fun onKeepAlive(): Unit = stream.send(": keep-alive\n\n")

        override fun onEnd(outcome: EngineOutcome) {
            when (outcome) {
                is EngineOutcome.Completed ->
                    stream.send("data: ${json.encodeToString(outcome.generated.toLastChunk())}\n\ndata: [DONE]\n\n")

                is EngineOutcome.Failed ->
                    if (outcome.failure ==
                        AttemptFailure.CONNECTION_LOST
                    ) {
                        return stream.abort()
                    } else {
                        stream.send(outcome.toEvent())
                    }
            }
            stream.end()
        }

        private fun EngineOutcome.Failed.toEvent(): String {
            val type = if (failure == AttemptFailure.DEADLINE) "deadline" else "engine_error"
            return "data: ${json.encodeToString(EngineLastChunk(error = EngineError(message, type)))}\n\n"
        }
    }
}
