package lavendertrail.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against client accounts that get more requests than their limit (QUOTA), and against refusals below it. */
class AccountQuotasTest {
    private val limit = QuotaQuestion("alice", requestsPerSecond = 10.0, burstRequests = 15.0, configVersion = 1, isNewProgram = false)
    private var quotas = AccountQuotas(startedAtMillis = 0)

    private fun ask(
        nowMillis: Long,
        question: QuotaQuestion = limit,
        share: Double = 1.0,
    ): QuotaDecision {
        val (next, decision) = quotas.decide(question, share, nowMillis)
        quotas = next
        return decision
    }

    private fun mostWithin(
        windowMillis: Long,
        grantedAtMillis: List<Long>,
    ): Int = grantedAtMillis.maxOfOrNull { start -> grantedAtMillis.count { it >= start && it < start + windowMillis } } ?: 0

    @Test
    fun `no window has more than the limit, whatever is asked and however often the host restarts`() {
        for (seed in 1..30) {
            val random = Random(seed)
            val rate = random.nextDouble(0.5, 60.0)
            val question = limit.copy(requestsPerSecond = rate, burstRequests = random.nextDouble(0.0, 80.0))
            val granted = mutableListOf<Long>()
            var now = 0L
            quotas = AccountQuotas(now)
            repeat(3_000) {
                now += random.nextLong(0, 40)
                if (random.nextInt(500) == 0) {
                    now += random.nextLong(0, 3_000)
                    quotas = AccountQuotas(now)
                }
                val asked = question.copy(isNewProgram = random.nextBoolean(), maxWaitMillis = random.nextLong(0, 1_000))
                val decision = ask(now, asked)
                if (decision.isGranted) granted += now + decision.waitMillis
            }
            val most = mostWithin(WINDOW_MILLIS, granted)
            // Requests that wait when the host restarts, for a second at most, have their tokens already.
            val allowed = rate * WINDOW_MILLIS / 1_000 + maxOf(question.burstRequests, 1.0) + rate
            assertTrue(most <= allowed + 1, "seed $seed: $most of $allowed")
            assertTrue(granted.size >= 20, "seed $seed: only ${granted.size} granted")
        }
    }

    @Test
    fun `requests below the limit are granted`() {
        for (now in 5_000L..60_000L step 110) assertTrue(ask(now).isGranted, "$now")
    }

    @Test
    fun `an account over its limit finishes running programs first`() {
        ask(10_000)
        while (ask(10_000, limit.copy(isNewProgram = true)).isGranted) Unit
        repeat(3) { assertTrue(ask(10_000).isGranted, "running program $it") }
    }

    @Test
    fun `requests that come at once are spread at the rate of the account`() {
        while (ask(10_000).isGranted) Unit
        val waits = List(9) { ask(10_000, limit.copy(maxWaitMillis = 1_000)) }
        assertEquals((1L..9L).map { 100 * it }, waits.map { it.waitMillis })
        assertFalse(ask(10_000, limit.copy(maxWaitMillis = 800)).isGranted)
    }

    @Test
    fun `callers that are refused return one after the other at the rate of the account`() {
        while (ask(10_000).isGranted) Unit
        val returns = List(8) { ask(10_000).retryAfterMillis }
        for ((earlier, later) in returns.zipWithNext()) assertTrue(later - earlier in 90..110, "$returns")
    }

    @Test
    fun `a caller that returns as told finds room`() {
        while (ask(10_000).isGranted) Unit
        val decision = ask(10_000)
        assertTrue(ask(10_000 + decision.retryAfterMillis).isGranted)
    }

    @Test
    fun `the limit of the newest configuration counts`() {
        assertTrue(ask(10_000).isGranted)
        val lower = limit.copy(requestsPerSecond = 1.0, burstRequests = 2.0, configVersion = 2)
        assertTrue(ask(10_000, lower).isGranted)
        assertTrue(ask(10_000, limit).isGranted)
        assertFalse(ask(10_000, limit).isGranted)
        assertFalse(ask(10_500, limit).isGranted)
        assertTrue(ask(11_000, limit).isGranted)
    }

    @Test
    fun `a host that may not be the only one grants its share`() {
        while (ask(10_000, share = 0.5).isGranted) Unit
        val granted = (10_000L..20_000L step 10).count { ask(it, share = 0.5).isGranted }
        assertEquals(50, granted, "of 100 in ten seconds")
    }

    private companion object {
        const val WINDOW_MILLIS = 5_000L
    }
}
