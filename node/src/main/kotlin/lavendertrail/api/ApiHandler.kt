package lavendertrail.api

import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.tinylog.kotlin.Logger
import java.util.concurrent.atomic.AtomicInteger

/**
 * Turns refusals, faults and unknown routes into JSON errors, counts open requests and refuses those above
 * [maxOpenRequests]: each waits in a thread of the server, and health checks need one too.
 */
internal class ApiHandler(
    private val routes: HttpHandler,
    private val maxOpenRequests: Int,
    private val streams: () -> Int = { 0 },
    private val onAnswer: (String, Int, Long) -> Unit = { _, _, _ -> },
) : HttpHandler {
    private val open = AtomicInteger()

    /** Requests whose handler hasn't returned. */
    val openRequests: Int get() = open.get()

    /** Streams that are being sent, whose handler has returned. */
    val openStreams: Int get() = streams()

    override fun invoke(request: Request): Response {
        val begin = System.nanoTime()
        val number = open.incrementAndGet()
        try {
            val response = if (number > maxOpenRequests && request.isCall()) tooMany() else handle(request)
            onAnswer(request.routeLabel(), response.status.code, System.nanoTime() - begin)
            return response
        } finally {
            open.decrementAndGet()
        }
    }

    private fun handle(request: Request): Response =
        try {
            val response = routes(request)
            if (response.body.length == 0L) bare(request, response) else response
        } catch (refused: ApiRefusal) {
            refused.refusal.toResponse(refused.status)
        } catch (fault: RuntimeException) {
            Logger.error(fault, "api: ${request.method} ${request.uri.path} failed")
            internalError()
        }

    /** The router answers unknown routes and methods without a body. */
    private fun bare(
        request: Request,
        response: Response,
    ): Response {
        val what = "${request.method} ${request.uri.path.take(SHOWN_CHARS)}"
        return when (response.status.code) {
            Status.NOT_FOUND.code -> refusal(RefusalReason.BAD_REQUEST, "there is no route $what").toResponse(Status.NOT_FOUND)

            Status.METHOD_NOT_ALLOWED.code ->
                refusal(RefusalReason.BAD_REQUEST, "the route doesn't take $what").toResponse(Status.METHOD_NOT_ALLOWED)

            else -> response
        }
    }

    private fun tooMany(): Response =
        refusal(RefusalReason.OVERLOADED, "this node has $maxOpenRequests requests open", RETRY_AFTER_MILLIS).toResponse()

    private fun internalError(): Response =
        refusal(RefusalReason.SERVER_FAILED, "the request failed inside this node")
            .copy(outcome = RunOutcome.MAY_HAVE_RUN)
            .toResponse(Status.INTERNAL_SERVER_ERROR)

    private fun Request.isCall(): Boolean = uri.path.startsWith("/v1/") && !uri.path.startsWith("/v1/admin/")

    private companion object {
        const val SHOWN_CHARS = 200
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}

/** Metrics label of a request; a small fixed set, whatever callers send. */
internal fun Request.routeLabel(): String {
    val path = uri.path
    return when {
        path == "/v1/chat/completions" -> "chat"
        path == "/v1/programs" -> "open"
        path.startsWith("/v1/admin/") -> "admin"
        path.startsWith("/v1/programs/") -> PROGRAM_ROUTES.firstOrNull { "/$it" in path } ?: "other"
        path == "/healthz" || path == "/readyz" || path == "/metrics" -> "health"
        method == Method.OPTIONS -> "options"
        else -> "other"
    }
}

private val PROGRAM_ROUTES = listOf("subagents", "tool-results", "tools", "end", "history", "calls")
