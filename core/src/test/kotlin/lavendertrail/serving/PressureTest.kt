package lavendertrail.serving

import lavendertrail.serving.PressureLoad.Fault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against programs that lose their places to newer ones when callers compete for too little room. */
class PressureTest {
    private val ordered = ServingSettings(ordersReturns = true)

    private fun burst(
        seed: Int,
        fault: Fault = Fault.NONE,
    ) = PressureLoad(seed, List(14) { second -> if (second in 4..7) 110 else 36 }, fault = fault)

    @Test
    fun `more programs end in time in a burst, also when a third of the hosts is cut off, restarts or is slow`() {
        for (fault in Fault.entries) {
            val usual = SEEDS.map { PressureReplay(burst(it, fault), ServingSettings()).run() }
            val new = SEEDS.map { PressureReplay(burst(it, fault), ordered).run() }
            val figures =
                "$fault: in time ${usual.sumOf { it.inTime }} before, ${new.sumOf { it.inTime }} after; " +
                    "turns in vain ${usual.sumOf { it.turnsInVain }}, ${new.sumOf { it.turnsInVain }}; " +
                    "worst seconds ${usual.map { it.worstSecondsShare }.average()}, ${new.map { it.worstSecondsShare }.average()}"
            assertTrue(new.sumOf { it.inTime } > usual.sumOf { it.inTime }, figures)
            assertTrue(new.sumOf { it.turnsInVain } < usual.sumOf { it.turnsInVain }, figures)
        }
    }

    private fun input(
        isRunning: Boolean,
        position: Double,
        remainingMillis: Long = 3_000,
    ) = ReturnInput(remainingMillis, remainingMillis, 80.0, 200.0, 400.0, isRunning, position)

    @Test
    fun `running programs return before new ones, and nobody later than a third of its time`() {
        val running = (0..10).map { returnInOrder(input(isRunning = true, it / 10.0)) }
        val new = (0..10).map { returnInOrder(input(isRunning = false, it / 10.0)) }
        assertEquals(running.sorted(), running)
        assertTrue(running.first() >= 80 && running.last() <= new.first() && new.first() < new.last(), "$running, $new")
        for (remainingMillis in listOf(0L, 30L, 300L, 1_000L)) {
            for (position in listOf(0.0, 0.5, 1.0)) {
                val millis = returnInOrder(input(isRunning = false, position, remainingMillis))
                assertTrue(millis in 0..remainingMillis / 3, "$millis of $remainingMillis")
            }
        }
        val late = input(isRunning = true, position = 1.0).copy(programRemainingMillis = -500)
        assertEquals(running.last(), returnInOrder(late))
    }

    @Test
    fun `all hosts together let as many callers return as places become free, whatever their shares`() {
        val freedPerSecond = listOf(5, 10, 40, 80)
        val returningPerMilli =
            freedPerSecond.sumOf { freed ->
                var demand = ReturnDemand()
                for (millis in 0L until 5_000) {
                    if (millis % (1_000 / freed) == 0L) demand = demand.withEnded(isFirstTurn = false, millis)
                    if (millis % 20 == 0L) demand = demand.withTurnedAway(isRunning = true, 4_000, millis)
                }
                // 50 callers a second are turned away, which fade over the mean age of 1.44 s.
                50 * 1.44 / demand.runningBacklogMillis
            }
        val freedPerMilli = freedPerSecond.sum() / 1_000.0
        assertTrue(returningPerMilli in freedPerMilli * 0.8..freedPerMilli * 1.2, "$returningPerMilli of $freedPerMilli")
    }

    @Test
    fun `the program that has invested most returns first`() {
        var demand = ReturnDemand()
        for (tokens in 3_000..6_000 step 100) demand = demand.withTurnedAway(isRunning = true, tokens, nowMillis = 0)
        assertTrue(demand.investedPosition(7_000, 0.9) < demand.investedPosition(4_000, 0.1))
        assertEquals(0.3, ReturnDemand().investedPosition(4_000, 0.3))
    }

    @Test
    fun `a request turned away is told why and when room is expected, and without the setting returns as before`() {
        for (settings in listOf(ServingSettings(), ordered)) {
            val bench = ServingBench(settings = settings)
            repeat(15) { bench.arrive(it.toLong(), bench.plainRequest("/tools/$it")) }
            bench.arrive(15, bench.plainRequest("/tools/15"))
            val rejection = bench.singleEffect<Reject>()
            assertEquals(RejectReason.OVERLOADED, rejection.reason)
            if (settings === ordered) {
                assertEquals("all servers are full, room expected in 25 ms", rejection.detail)
                assertTrue(checkNotNull(rejection.retryAfterMillis) in 25L..333L, "$rejection")
            } else {
                assertEquals(112L to "", rejection.retryAfterMillis to rejection.detail)
            }
        }
    }

    @Test
    fun `a decision takes 50 microseconds at most with 300 programs`() {
        val bench = ServingBench(settings = ordered)
        repeat(33) { bench.addServer("engine-${it + 2}", "engines") }
        repeat(
            34 * 15,
        ) { key -> bench.arrive(key.toLong(), bench.turnRequest(previous = null).copy(programId = "p${key % 300}", tokenBudget = null)) }
        val micros =
            (1_000L until 4_000L).map { key ->
                val request = bench.turnRequest(previous = null).copy(attemptId = "a$key", programId = "new$key", tokenBudget = null)
                val startNanos = System.nanoTime()
                bench.arrive(key, request)
                val micros = (System.nanoTime() - startNanos) / 1_000
                assertEquals(RejectReason.OVERLOADED, bench.singleEffect<Reject>().reason)
                micros
            }
        assertTrue(micros.sorted()[micros.size / 2] <= 50, "median ${micros.sorted()[micros.size / 2]} us")
    }

    private companion object {
        val SEEDS = 1..4
    }
}
