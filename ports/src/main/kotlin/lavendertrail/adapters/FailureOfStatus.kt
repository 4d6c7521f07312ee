package lavendertrail.adapters

import lavendertrail.reducer.AttemptFailure

/**
 * Maps the HTTP status of a failed attempt. 408 and 5xx other than 503 don't prove that nothing was run, so they are not
 * treated as rejections.
 */
internal fun failureOfStatus(status: Int): AttemptFailure =
    when (status) {
        429, 503 -> AttemptFailure.BUSY
        408 -> AttemptFailure.DEADLINE
        in 400..499 -> AttemptFailure.REJECTED
        else -> AttemptFailure.ERROR
    }
