package lavendertrail.serving

/** What follows an attempt that ended without a complete answer. */
public enum class RetryDecision {
    SEND_AGAIN,

    /** Answer that the request has not run. */
    REJECT,

    /** Answer that the request failed and may have run. */
    FAIL,

    /** Abort the answer that has begun, so that the caller sees that it is incomplete. */
    BREAK_OFF,
}

/**
 * What [decideRetry] depends on. [possiblyRunAttempts] counts the attempts after which the request may have run, including
 * the one that just ended.
 */
public data class AttemptHistory(
    val outcome: AttemptOutcome,
    val isRepeatable: Boolean,
    val isAnswerStarted: Boolean,
    val possiblyRunAttempts: Int,
    val maxAttempts: Int,
    val notRunAttempts: Int,
    val maxNotRunAttempts: Int,
    val hasTimeLeft: Boolean,
)

internal fun PendingRequest.attemptHistory(
    outcome: AttemptOutcome,
    remainingMillis: Long,
    settings: ServingSettings,
) = AttemptHistory(
    outcome = outcome,
    isRepeatable = route.isRepeatable,
    isAnswerStarted = isAnswerStarted,
    possiblyRunAttempts = possiblyRunAttempts,
    maxAttempts = route.maxAttempts,
    notRunAttempts = notRunAttempts,
    maxNotRunAttempts = settings.maxNotRunAttempts,
    hasTimeLeft = remainingMillis >= settings.minRemainingMillis,
)

/** Retries a request that may have run only if it is repeatable, and never more often than its route allows. */
public fun decideRetry(history: AttemptHistory): RetryDecision =
    with(history) {
        val mayHaveRun = possiblyRunAttempts > 0
        val isKnownNotRun = outcome != AttemptOutcome.BROKEN && outcome != AttemptOutcome.NOT_KEPT
        val canSend =
            outcome != AttemptOutcome.NOT_KEPT &&
                hasTimeLeft &&
                possiblyRunAttempts < maxAttempts &&
                notRunAttempts <= maxNotRunAttempts &&
                (!mayHaveRun || isRepeatable)
        when {
            canSend -> RetryDecision.SEND_AGAIN
            isAnswerStarted -> RetryDecision.BREAK_OFF
            isKnownNotRun && !mayHaveRun -> RetryDecision.REJECT
            else -> RetryDecision.FAIL
        }
    }
