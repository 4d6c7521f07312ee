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
 * Converts refusals, exceptions and unknown routes to JSON errors. Refuses further calls while [maxOpenRequests] requests
 * are open: each open request blocks a server thread, and health checks must still find a free one.
 */
internal class ApiHandler(
    private val routes: HttpHandler,
    private val maxOpenRequests: Int,
    private val streams: () -> Int = { 0 },
    private val onAnswer: (String, Int, Long) -> Unit = { _, _, _ -> },
) : HttpHandler {
    private val openCounter = AtomicInteger()

    /** Number of requests whose handler has not returned yet. */
    val openRequests: Int get() = openCounter.get()

    /** Number of response streams that are still being sent after their handler returned. */
    val openStreams: Int get() = streams()

    override fun invoke(request: Request): Response {
        val startNanos = System.nanoTime()
        val openCount = openCounter.incrementAndGet()
        try {
            val response = if (openCount > maxOpenRequests && request.isCall()) tooManyRequests() else handle(request)
            onAnswer(request.routeLabel(), response.status.code, System.nanoTime() - startNanos)
            return response
        } finally {
            openCounter.decrementAndGet()
        }
    }

    private fun handle(request: Request): Response =
        try {
            val response = routes(request)
            if (response.body.length == 0L) addErrorBody(request, response) else response
        } catch (refused: ApiRefusal) {
            refused.refusal.toResponse(refused.status)
        } catch (fault: RuntimeException) {
            Logger.error(fault, "api: ${request.method} ${request.uri.path} failed")
            internalError()
        }

    /** Adds a JSON error to the empty response that the router gives for an unknown route or method. */
    private fun addErrorBody(
        request: Request,
        response: Response,
    ): Response {
        val target = "${request.method} ${request.uri.path.take(MAX_QUOTED_CHARS)}"
        return when (response.status.code) {
            Status.NOT_FOUND.code -> refusal(RefusalReason.BAD_REQUEST, "no route for $target").toResponse(Status.NOT_FOUND)

            Status.METHOD_NOT_ALLOWED.code ->
                refusal(RefusalReason.BAD_REQUEST, "method not allowed: $target").toResponse(Status.METHOD_NOT_ALLOWED)

            else -> response
        }
    }

    private fun tooManyRequests(): Response =
        refusal(RefusalReason.OVERLOADED, "this node already has $maxOpenRequests open requests", RETRY_AFTER_MILLIS).toResponse()

    private fun internalError(): Response =
        refusal(RefusalReason.SERVER_FAILED, "internal error while handling the request")
            .copy(outcome = RunOutcome.MAY_HAVE_RUN)
            .toResponse(Status.INTERNAL_SERVER_ERROR)

    private fun Request.isCall(): Boolean = uri.path.startsWith("/v1/") && !uri.path.startsWith("/v1/admin/")

    private companion object {
        const val MAX_QUOTED_CHARS = 200
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}

/** Metrics label of a request. The set of labels is fixed, so that callers cannot create new time series. */
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
