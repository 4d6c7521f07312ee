package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a request that runs twice, and against the answer "not run" for a request that may have run. */
class RetryDecisionTest {
    private data class Case(
        val name: String,
        val history: AttemptHistory,
        val expected: RetryDecision,
    )

    private val fresh =
        AttemptHistory(
            outcome = AttemptOutcome.BROKEN,
            isRepeatable = false,
            isAnswerStarted = false,
            possiblyRunAttempts = 1,
            maxAttempts = 2,
            notRunAttempts = 0,
            maxNotRunAttempts = 3,
            hasTimeLeft = true,
        )

    @Test
    fun `each outcome of an attempt leads to the expected decision`() {
        val refused = fresh.copy(outcome = AttemptOutcome.NOT_RUN, possiblyRunAttempts = 0, notRunAttempts = 1)
        val cases =
            listOf(
                Case("not repeatable, refused", refused, RetryDecision.SEND_AGAIN),
                Case("not repeatable, unreachable", refused.copy(outcome = AttemptOutcome.UNREACHABLE), RetryDecision.SEND_AGAIN),
                Case("not repeatable, wrong server", refused.copy(outcome = AttemptOutcome.WRONG_SERVER), RetryDecision.SEND_AGAIN),
                Case("not repeatable, broken", fresh, RetryDecision.FAIL),
                Case("repeatable, broken", fresh.copy(isRepeatable = true), RetryDecision.SEND_AGAIN),
                Case("repeatable, broken at its last server", fresh.copy(isRepeatable = true, possiblyRunAttempts = 2), RetryDecision.FAIL),
                Case("refused too often", refused.copy(notRunAttempts = 4), RetryDecision.REJECT),
                Case("refused, no time left", refused.copy(hasTimeLeft = false), RetryDecision.REJECT),
                Case("broken before, then refused", refused.copy(possiblyRunAttempts = 1), RetryDecision.FAIL),
                Case("broken within an answer", fresh.copy(isAnswerStarted = true), RetryDecision.BREAK_OFF),
                Case("turn not stored", fresh.copy(outcome = AttemptOutcome.NOT_KEPT, isRepeatable = true), RetryDecision.FAIL),
                Case(
                    "turn not stored after its events were sent to the caller",
                    fresh.copy(outcome = AttemptOutcome.NOT_KEPT, isRepeatable = true, isAnswerStarted = true),
                    RetryDecision.BREAK_OFF,
                ),
            )
        cases.forEach { assertEquals(it.expected, decideRetry(it.history), it.name) }
    }

    @Test
    fun `no combination repeats a request that may have run and must not be repeated`() {
        for (outcome in AttemptOutcome.entries) {
            for (possiblyRunAttempts in 1..3) {
                val history = fresh.copy(outcome = outcome, possiblyRunAttempts = possiblyRunAttempts, maxAttempts = 9)
                assertEquals(false, decideRetry(history) in setOf(RetryDecision.SEND_AGAIN, RetryDecision.REJECT), "$history")
            }
        }
    }
}
