package lavendertrail.dispatch

import lavendertrail.reducer.AttemptFailure

/** Budget that limits retries to a share of the calls, so that a failing server doesn't multiply the load on the others. */
internal data class RetryBudget(
    val spentPercent: Long = 0,
) {
    // The spent budget is counted in percent of a call: a retry costs 100, and each new call earns back its share.
    fun withEarned(percent: Int): RetryBudget = RetryBudget(maxOf(0, spentPercent - percent))

    fun allows(burst: Int): Boolean = spentPercent + PERCENT_PER_RETRY <= burst * PERCENT_PER_RETRY

    fun withSpent(): RetryBudget = RetryBudget(spentPercent + PERCENT_PER_RETRY)

    private companion object {
        const val PERCENT_PER_RETRY = 100L
    }
}

internal enum class RetryDecision {
    RETRY,

    /** A retry that is not charged to the budget, since the server refused the call before doing any work. */
    RETRY_FREE,
    GIVE_UP,
}

internal class RetryQuery(
    val failure: AttemptFailure,
    val repeatable: Boolean,
    val attempts: Int,
    val isModelCall: Boolean,
    val hasBudget: Boolean,
    val maxAttempts: Int,
    val crashLimit: Int,
)

internal typealias RetryPolicy = (RetryQuery) -> RetryDecision

// A busy answer costs only a round trip, and the deadline bounds such retries. This limit only prevents a tight loop.
private const val MAX_BUSY_ATTEMPTS = 32

/**
 * Retries within the budget. A call that isn't repeatable is retried only if the server certainly didn't run it. An error
 * of a tool is final; after an error of a model engine the call is retried once, preferably on another server.
 */
internal val budgetedRetry: RetryPolicy = { query ->
    val allowed =
        when (query.failure) {
            AttemptFailure.BUSY -> query.attempts < MAX_BUSY_ATTEMPTS
            AttemptFailure.REJECTED -> query.attempts < query.maxAttempts
            // A tool server can't be polled after a lost connection, so each loss is treated as a possible crash.
            AttemptFailure.CONNECTION_LOST ->
                query.repeatable && query.attempts < if (query.isModelCall) query.maxAttempts else query.crashLimit
            AttemptFailure.IDLE -> query.repeatable && query.attempts < query.maxAttempts
            AttemptFailure.ERROR -> query.repeatable && query.isModelCall && query.attempts < 2
            AttemptFailure.UNKNOWN_STREAM -> query.repeatable && query.attempts < query.maxAttempts
            AttemptFailure.DEADLINE -> false
        }
    when {
        !allowed -> RetryDecision.GIVE_UP
        query.failure == AttemptFailure.BUSY -> RetryDecision.RETRY_FREE
        query.hasBudget -> RetryDecision.RETRY
        else -> RetryDecision.GIVE_UP
    }
}
