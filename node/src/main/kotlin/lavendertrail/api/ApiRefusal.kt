package lavendertrail.api

import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import org.http4k.core.Response
import org.http4k.core.Status

/** Ends the handling of a request with [refusal]; [status] is given where the reason alone doesn't tell it. */
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

/** A refusal as JSON, with the HTTP status that clients and proxies understand. */
internal fun Refusal.toResponse(status: Status = statusOf(this)): Response {
    val response = jsonResponse(Refusal.serializer(), this, status)
    val afterMillis = retryAfterMillis ?: return response
    return response.header("Retry-After", ((afterMillis + 999) / 1_000).toString())
}

/** Body for a status with which the HTTP server itself rejects a request. */
internal fun errorBody(status: Int): String {
    val message =
        when (status) {
            Status.REQUEST_ENTITY_TOO_LARGE.code -> "the body is longer than the limit or could not be read"
            else -> "the method is not known"
        }
    return ApiJson.encode(Refusal.serializer(), refusal(RefusalReason.BAD_REQUEST, message))
}

/** A call that may have run must never look like one that a proxy may repeat, so it has a status of its own. */
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
