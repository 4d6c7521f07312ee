package lavendertrail.api

import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import org.http4k.core.Response
import org.http4k.core.Status

/** Aborts a request with [refusal]. [status] overrides the HTTP status that follows from the refusal. */
internal class ApiRefusal(
    val refusal: Refusal,
    val status: Status = statusOf(refusal),
) : RuntimeException(refusal.message)

internal fun refusal(
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
): Refusal = Refusal(RunOutcome.NOT_RUN, reason, message, retryAfterMillis, step = "api")

internal fun badRequest(message: String): ApiRefusal = ApiRefusal(refusal(RefusalReason.BAD_REQUEST, message))

internal fun notAllowed(message: String): ApiRefusal = ApiRefusal(refusal(RefusalReason.NOT_ALLOWED, message))

internal fun notFound(message: String): ApiRefusal = ApiRefusal(refusal(RefusalReason.BAD_REQUEST, message), Status.NOT_FOUND)

internal fun unauthorized(message: String): ApiRefusal = ApiRefusal(refusal(RefusalReason.NOT_ALLOWED, message), Status.UNAUTHORIZED)

/** The refusal as a JSON response, with `Retry-After` if a retry can succeed. */
internal fun Refusal.toResponse(status: Status = statusOf(this)): Response {
    val response = jsonResponse(Refusal.serializer(), this, status)
    val afterMillis = retryAfterMillis ?: return response
    return response.header("Retry-After", ((afterMillis + 999) / 1_000).toString())
}

/** JSON body for requests that the HTTP server rejects with [status] before they reach a route. */
internal fun errorBody(status: Int): String {
    val message =
        when (status) {
            Status.REQUEST_ENTITY_TOO_LARGE.code -> "the body exceeds the size limit or could not be read"
            else -> "the HTTP method is unknown"
        }
    return ApiJson.encode(Refusal.serializer(), refusal(RefusalReason.BAD_REQUEST, message))
}

/** A call that may have run must not get a status that lets a proxy retry it, so the outcome takes precedence over the reason. */
internal fun statusOf(refusal: Refusal): Status =
    when {
        refusal.outcome == RunOutcome.MAY_HAVE_RUN -> Status.GATEWAY_TIMEOUT
        else -> statusOf(refusal.reason)
    }

private fun statusOf(reason: RefusalReason): Status =
    when (reason) {
        RefusalReason.UNKNOWN_PROGRAM -> Status.NOT_FOUND

        RefusalReason.PROGRAM_ENDED -> Status.GONE

        RefusalReason.POSITION_TAKEN, RefusalReason.POSITION_GAP, RefusalReason.KEY_REUSED, RefusalReason.UNRESOLVED,
        RefusalReason.CANCELLED,
        -> Status.CONFLICT

        RefusalReason.BUDGET_EXCEEDED, RefusalReason.TURN_LIMIT -> Status(PAYMENT_REQUIRED, "Payment Required")

        RefusalReason.DEADLINE -> Status.GATEWAY_TIMEOUT

        RefusalReason.OVERLOADED -> Status.TOO_MANY_REQUESTS

        RefusalReason.POISON_REQUEST -> Status.UNPROCESSABLE_ENTITY

        RefusalReason.NOT_ALLOWED -> Status.FORBIDDEN

        RefusalReason.BAD_REQUEST -> Status.BAD_REQUEST

        RefusalReason.SERVER_FAILED, RefusalReason.TOOL_FAILED -> Status.BAD_GATEWAY

        RefusalReason.NOT_OWNER, RefusalReason.RECOVERING, RefusalReason.NO_SERVER, RefusalReason.HISTORY_UNAVAILABLE,
        RefusalReason.SHUTTING_DOWN,
        -> Status.SERVICE_UNAVAILABLE
    }

private const val PAYMENT_REQUIRED = 402
