package lavendertrail.dispatch

import lavendertrail.reducer.AttemptFailure

/** Tokens that limit retries to a share of the calls, so that a failing server doesn't multiply the load on the others. */
internal data class RetryBudget(
    val spentPercent: Long = 0,
) {
    // Spent budget is counted in percent of a call: a retry costs 100, each call gives back its share.
    fun earned(percent: Int): RetryBudget = RetryBudget(maxOf(0, spentPercent - percent))

    fun allows(burst: Int): Boolean = spentPercent + PERCENT <= burst * PERCENT

    fun spent(): RetryBudget = RetryBudget(spentPercent + PERCENT)

    private companion object {
        const val PERCENT = 100L
    }
}

internal enum class RetryDecision {
    RETRY,

    /** Again without use of the budget: the server refused the call before any work was done. */
    RETRY_FREE,
    GIVE_UP,
}

internal class RetryQuery(
    val failure: AttemptFailure,
    val repeatable: Boolean,
    val attempts: Int,
    val isModelCall: Boolean,
    val budgetLeft: Boolean,
    val maxAttempts: Int,
    val crashLimit: Int,
)

internal typealias RetryPolicy = (RetryQuery) -> RetryDecision

// A busy server costs nothing but the round trip; the deadline bounds such retries, this only stops a tight loop.
private const val MAX_BUSY_ATTEMPTS = 32

/**
 * A call that can't be repeated is tried again only where the server surely didn't run it. An error answer of a tool is
 * its answer; that of a model engine is tried once more elsewhere.
 */
internal val budgetedRetry: RetryPolicy = { query ->
    val allowed =
        when (query.failure) {
            AttemptFailure.BUSY -> query.attempts < MAX_BUSY_ATTEMPTS
            AttemptFailure.REJECTED -> query.attempts < query.maxAttempts
            // A tool's server can't be asked whether it crashed, so that each loss may have been a crash.
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
        query.budgetLeft -> RetryDecision.RETRY
        else -> RetryDecision.GIVE_UP
    }
}
