package lavendertrail.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Guards against limits that are exceeded by the sum of many entry hosts, or left unused because callers are unevenly distributed
 * over the hosts.
 */
class RequestPacerTest {
    private fun candidate(
        id: String,
        rate: Double,
        statedMillisAgo: Long = 0,
    ) = PermitCandidate(id, rate, statedMillisAgo)

    @Test
    fun `permits follow the limit after a short burst`() {
        var pacer = RequestPacer()
        val waits =
            List(8) {
                val (next, decision) = pacer.decide(listOf(candidate("s", 4.0)), 10_000, 1_000)
                pacer = next
                decision.waitMillis
            }
        assertEquals(listOf(0L, 0, 0, 250, 500, 750, 1_000, 1_250), waits)
    }

    @Test
    fun `a request that can't wait is denied and reserves nothing`() {
        var pacer = RequestPacer()
        repeat(5) { pacer = pacer.decide(listOf(candidate("s", 4.0)), 10_000, 0).first }
        val (denied, decision) = pacer.decide(listOf(candidate("s", 4.0)), 100, 0)
        assertNull(decision.serverId)
        assertEquals(mapOf("s" to 750L), decision.nextWaitMillis)
        assertEquals(750, denied.decide(listOf(candidate("s", 4.0)), 1_000, 0).second.waitMillis)
    }

    @Test
    fun `a statement that is older than the end of the limit is not applied`() {
        val pacer = RequestPacer().record(listOf(StatedLimit("s", 4.0)), 0).record(listOf(StatedLimit("s", null)), 500)
        val (_, stale) = pacer.decide(listOf(candidate("s", 4.0, statedMillisAgo = 800)), 100, 1_000)
        assertEquals(setOf("s"), stale.unlimitedServerIds)
        val (_, renewed) = pacer.decide(listOf(candidate("s", 4.0, statedMillisAgo = 100)), 100, 1_000)
        assertEquals("s", assertNotNull(renewed.serverId))
    }

    /** Load pattern: 300 entry hosts, a tenth of which receive most callers, ask for eight servers at four times their limits. */
    @Test
    fun `unevenly loaded entry hosts use the limits fully and never exceed them`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            val rates = List(8) { 0.3 + random.nextDouble() * 4 }
            val candidates = rates.mapIndexed { index, rate -> candidate("s$index", rate) }
            var pacer = RequestPacer()
            val sent = rates.map { mutableListOf<Long>() }
            val intervalMillis = (1_000 / (4 * rates.sum())).toLong().coerceAtLeast(1)
            for (now in 0..DAY_MILLIS step intervalMillis) {
                val (next, decision) = pacer.decide(candidates.shuffled(random), random.nextLong(1_000), now)
                pacer = next
                decision.serverId?.let { sent[it.drop(1).toInt()] += now + decision.waitMillis }
            }
            rates.forEachIndexed { index, rate ->
                val times = sent[index].sorted()
                val most = times.maxOf { start -> times.count { it in start until start + WINDOW_MILLIS } }
                assertTrue(most <= 1.5 * rate * WINDOW_MILLIS / 1_000 + 5, "seed $seed: $most requests at $rate a second")
                assertTrue(times.size >= 0.9 * rate * DAY_MILLIS / 1_000 - 1, "seed $seed: ${times.size} requests at $rate a second")
            }
        }
    }

    private companion object {
        const val SEEDS = 50
        const val DAY_MILLIS = 30_000L
        const val WINDOW_MILLIS = 4_000L
    }
}
