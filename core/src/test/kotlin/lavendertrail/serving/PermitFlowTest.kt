package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against requests that reach a server with a request limit without a valid permit, or wait although they can't get one. */
class PermitFlowTest {
    private val bench = ServingBench()

    private fun stateLimit(rate: Double? = 2.0) {
        bench.arrive(1, bench.plainRequest("/tools/first"))
        bench.apply(AnswerStarted(1, null, rate))
        bench.apply(AttemptEnded(1, AttemptOutcome.ANSWERED))
    }

    private fun decide(
        key: RequestKey,
        serverId: String?,
        waitMillis: Long = 0,
        nextWaitMillis: Long = 500,
    ) {
        val asked = listOf(PermitCandidate("tool-1", 2.0, 0))
        bench.apply(PermitDecided(key, asked, 1_000, PermitDecision(serverId, waitMillis, mapOf("tool-1" to nextWaitMillis))))
    }

    @Test
    fun `a request to a server with a limit is sent once its permit is in force`() {
        stateLimit()
        bench.arrive(2, bench.plainRequest("/tools/x"))
        assertEquals(listOf("tool-1"), bench.singleEffect<RequestPermit>().candidates.map { it.serverId })
        decide(2, "tool-1", waitMillis = 300)
        assertEquals(emptyList(), bench.effects)
        bench.nowMillis += 300
        bench.apply(ClockTicked)
        assertEquals("tool-1", bench.singleEffect<SendToServer>().server.id)
    }

    @Test
    fun `a permit that was granted before a pause of the process is not used`() {
        stateLimit()
        bench.arrive(2, bench.plainRequest("/tools/x", deadlineMillis = 3_000))
        bench.nowMillis += 1_200
        decide(2, "tool-1")
        assertIs<RequestPermit>(bench.effects.last())
        decide(2, "tool-1", waitMillis = 200)
        bench.apply(ProcessPaused)
        assertIs<RequestPermit>(bench.effects.single())
    }

    @Test
    fun `a permit whose grant arrives after a pause that the monotonic clock doesn't show is not used`() {
        stateLimit()
        bench.arrive(2, bench.plainRequest("/tools/x", deadlineMillis = 3_000))
        bench.apply(ProcessPaused)
        decide(2, "tool-1")
        assertIs<RequestPermit>(bench.effects.single())
        decide(2, "tool-1")
        assertEquals("tool-1", bench.singleEffect<SendToServer>().server.id)
    }

    @Test
    fun `a request without a permit in time is refused at once as not run`() {
        stateLimit()
        bench.arrive(2, bench.plainRequest("/tools/x"))
        decide(2, serverId = null, nextWaitMillis = 1_500)
        val refused = bench.singleEffect<Reject>()
        assertEquals(RejectReason.OVERLOADED, refused.reason)
        assertTrue(assertNotNull(refused.retryAfterMillis) >= 1_500)
    }

    @Test
    fun `a server without a limit is used rather than a long wait for a permit`() {
        stateLimit()
        bench.addServer("tool-2", "tools")
        bench.arrive(2, bench.plainRequest("/tools/x"))
        if (bench.effects.single() is RequestPermit) decide(2, serverId = null)
        assertEquals("tool-2", bench.singleEffect<SendToServer>().server.id)
    }

    @Test
    fun `a request that may have run is not refused as not run while it waits for a permit`() {
        bench.apply(ConfigAccepted(bench.config.copy(version = 2, routes = bench.config.routes.map { it.copy(maxAttempts = 2) })))
        bench.addServer("tool-2", "tools")
        bench.apply(RequestLimitsLearnt(listOf("tool-1", "tool-2").map { StatedLimit(it, 2.0) }))
        bench.arrive(2, bench.plainRequest("/tools/x"))
        val first = bench.singleEffect<RequestPermit>()
        bench.apply(PermitDecided(2, first.candidates, 500, PermitDecision("tool-1", 0, mapOf("tool-1" to 500L))))
        bench.apply(AttemptEnded(2, AttemptOutcome.BROKEN))
        bench.singleEffect<RequestPermit>()
        bench.nowMillis += 1_000
        bench.apply(ClockTicked)
        assertEquals(RejectReason.SERVER_FAILED, bench.singleEffect<Reject>().reason)
    }

    @Test
    fun `a limit ends with an answer that states none unless the request was sent before the last statement`() {
        bench.arrive(1, bench.plainRequest("/tools/a"))
        bench.arrive(2, bench.plainRequest("/tools/b"))
        bench.nowMillis += 10
        bench.apply(AnswerStarted(1, null, 2.0))
        bench.apply(AnswerStarted(2, null, null))
        assertEquals(mapOf("tool-1" to 2.0), bench.state.requestLimits)
        bench.apply(RequestLimitsLearnt(listOf(StatedLimit("engine-1", 3.0))))
        bench.nowMillis += 10
        bench.arrive(3, bench.plainRequest("/tools/c"))
        decide(3, "tool-1")
        bench.apply(AnswerStarted(3, null, null))
        assertEquals(mapOf("engine-1" to 3.0), bench.state.requestLimits)
    }

    @Test
    fun `without a pacer an entry host uses half of its share of the limit`() {
        bench.apply(RequestLimitsLearnt(listOf(StatedLimit("tool-1", 90.0))))
        var sent = 0
        for (key in 1L..400L) {
            bench.nowMillis += 10
            bench.arrive(key, bench.plainRequest("/tools/$key"))
            val asked = bench.effects.filterIsInstance<RequestPermit>().singleOrNull() ?: continue
            bench.apply(PermitDecided(key, asked.candidates, maxWaitMillis = 0, decision = null))
            if (bench.effects.none { it is SendToServer }) continue
            sent++
            bench.apply(AttemptEnded(key, AttemptOutcome.ANSWERED))
        }
        assertTrue(sent in 15..30, "$sent requests in 4 s; half of the share of one of nine hosts is 20")
    }
}
