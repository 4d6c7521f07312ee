package lavendertrail.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards against requests that are taken during a planned stop and can't end before the process does. */
class PlannedStopTest {
    private val bench = ServingBench()

    private fun announceStop(inMillis: Long) = bench.apply(StopAnnounced(bench.nowMillis + inMillis))

    /** Has one request to [target] answered after [millis]. */
    private fun answer(
        key: RequestKey,
        target: String,
        millis: Long,
    ) {
        bench.arrive(key, bench.plainRequest(target, deadlineMillis = 4_000))
        bench.nowMillis += millis
        bench.apply(AttemptEnded(key, AttemptOutcome.ANSWERED))
    }

    private fun arriveLate(target: String): ServingEffect {
        bench.arrive(99, bench.plainRequest(target, deadlineMillis = 4_000))
        return bench.singleEffect()
    }

    /** Guards against long requests of a route on which most are short: they were passed on late in a stop and cut at its end. */
    @Test
    fun `a late request that may outlast the process is refused as not run however short its route's others are`() {
        repeat(20) { answer(it.toLong(), "/orders/$it", millis = 80) }
        announceStop(inMillis = 3_300)
        val rejection = assertIs<Reject>(arriveLate("/orders/b"))
        assertEquals(RejectReason.STOPPING, rejection.reason)
        assertEquals(0, rejection.retryAfterMillis)
    }

    @Test
    fun `a late request is taken if its deadline passes in time however long its route's others are`() {
        answer(1, "/orders/a", millis = 3_900)
        announceStop(inMillis = 1_001)
        bench.arrive(2, bench.plainRequest("/orders/b", deadlineMillis = 1_000))
        assertIs<SendToServer>(bench.singleEffect<ServingEffect>())
    }

    @Test
    fun `every request that is sent after the announcement ends by its deadline before the stop does`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val run = ServingBench()
            val stopAtMillis = run.nowMillis + 4_000
            run.apply(StopAnnounced(stopAtMillis))
            for (key in 1L..40L) {
                run.nowMillis += random.nextLong(0, 100)
                val deadlineMillis = random.nextLong(100, 6_000)
                run.arrive(key, run.plainRequest("/orders/$key", deadlineMillis = deadlineMillis))
                val isSent = run.effects.any { it is SendToServer && it.key == key }
                val endsAtMillis = run.nowMillis + minOf(deadlineMillis, ROUTE_TIMEOUT_MILLIS)
                assertEquals(endsAtMillis < stopAtMillis, isSent, "seed $seed, request $key")
                if (isSent) run.apply(AttemptEnded(key, AttemptOutcome.ANSWERED))
            }
        }
    }

    @Test
    fun `a request that waits when the stop is announced is refused at once if it may outlast the process`() {
        bench.arrive(1, bench.turnRequest(previous = "t0"))
        announceStop(inMillis = 1_000)
        assertEquals(
            RejectReason.STOPPING,
            bench.effects
                .filterIsInstance<Reject>()
                .single()
                .reason,
        )
        bench.apply(HistoryLoaded(1, HistoryResult.FOUND))
        assertEquals(emptyList(), bench.effects.filterIsInstance<SendToServer>())
    }

    @Test
    fun `a request that a server has not run is not sent to another one if it may outlast the process`() {
        bench.arrive(1, bench.plainRequest("/orders/a", deadlineMillis = 4_000))
        announceStop(inMillis = 1_000)
        assertFalse(bench.state.mayBeginBeforeStop(1))
        bench.apply(AttemptEnded(1, AttemptOutcome.NOT_RUN))
        assertEquals(
            RejectReason.STOPPING,
            bench.effects
                .filterIsInstance<Reject>()
                .single()
                .reason,
        )
        assertEquals(emptyList(), bench.effects.filterIsInstance<SendToServer>())
    }

    @Test
    fun `a request that may have run is sent again during a stop where that is allowed`() {
        bench.addServer("tool-2", "tools")
        bench.apply(ConfigAccepted(bench.config.copy(version = 2, routes = bench.config.routes.map { it.copy(maxAttempts = 2) })))
        bench.arrive(1, bench.plainRequest("/tools/a", deadlineMillis = 4_000))
        announceStop(inMillis = 1_000)
        bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN))
        assertIs<SendToServer>(bench.effects.single())
        assertTrue(bench.state.mayBeginBeforeStop(1))
    }

    @Test
    fun `a request that is under way at the end gets the answer that is true of it`() {
        bench.arrive(1, bench.plainRequest("/orders/sent", deadlineMillis = 4_000))
        announceStop(inMillis = 1_000)
        assertEquals(emptyList(), bench.effects)
        bench.nowMillis += 1_000
        bench.apply(ClockTicked)
        assertEquals(
            RejectReason.SERVER_FAILED,
            bench.effects
                .filterIsInstance<Reject>()
                .single()
                .reason,
        )
        assertEquals(listOf(CancelAttempt(1)), bench.effects.filterIsInstance<CancelAttempt>())
        assertEquals(0, bench.state.pendingRequests)
    }

    @Test
    fun `a request that waits for the first configuration is refused as the stop is announced`() {
        val starting = ServingBench(isConfigured = false, isStarting = true)
        starting.arrive(1, starting.plainRequest("/orders/a"))
        starting.apply(StopAnnounced(starting.nowMillis + 100))
        assertEquals(RejectReason.STOPPING, starting.singleEffect<Reject>().reason)
    }

    private companion object {
        const val ROUTE_TIMEOUT_MILLIS = 4_000L
    }
}
