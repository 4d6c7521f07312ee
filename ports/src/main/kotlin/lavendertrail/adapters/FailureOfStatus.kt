package lavendertrail.adapters

import lavendertrail.reducer.AttemptFailure

/**
 * What an HTTP status says about an attempt. 408 and 5xx other than 503 don't show that nothing has run, so they are no
 * rejections.
 */
internal fun failureOfStatus(status: Int): AttemptFailure =
    when (status) {
        429, 503 -> AttemptFailure.BUSY
        408 -> AttemptFailure.DEADLINE
        in 400..499 -> AttemptFailure.REJECTED
        else -> AttemptFailure.ERROR
    }
