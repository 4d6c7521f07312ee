package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Guards against requests that are sent or rejected wrongly, and against the answer "not run" for a request that may have
 * run.
 */
class ServingReducerTest {
    private val bench = ServingBench()

    @Test
    fun `a request goes to a ready server with the time that is left`() {
        bench.arrive(1, bench.plainRequest("/tools/x", deadlineMillis = 900))
        val sent = bench.singleEffect<SendToServer>()
        assertEquals("tool-1", sent.server.id)
        assertEquals(900, sent.deadlineMillis)
    }

    @Test
    fun `an unknown route is refused`() {
        bench.arrive(1, bench.plainRequest("/nowhere/x"))
        assertEquals(RejectReason.NO_ROUTE, bench.singleEffect<Reject>().reason)
    }

    @Test
    fun `a request without a configuration is refused at once by a process that has run for a while`() {
        val empty = ServingBench(isConfigured = false)
        empty.arrive(1, empty.plainRequest("/tools/x"))
        assertEquals(RejectReason.NO_CONFIGURATION, empty.singleEffect<Reject>().reason)
    }

    @Test
    fun `a request that arrives just after the start is sent once the configuration is read`() {
        val starting = ServingBench(isConfigured = false, isStarting = true)
        starting.arrive(1, starting.plainRequest("/tools/x", deadlineMillis = 900))
        starting.arrive(2, starting.plainRequest("/tools/y", deadlineMillis = 900))
        assertEquals(emptyList(), starting.effects)
        starting.apply(CallerDisconnected(2))
        starting.nowMillis += 300
        starting.apply(ConfigAccepted(starting.config))
        assertEquals(emptyList(), starting.effects)
        starting.addServer("tool-2", "tools")
        val sent = starting.singleEffect<SendToServer>()
        assertEquals(1, sent.key)
        assertEquals(600, sent.deadlineMillis)
    }

    @Test
    fun `a request is refused as not run if no configuration is read in time`() {
        val starting = ServingBench(isConfigured = false, isStarting = true)
        starting.arrive(1, starting.plainRequest("/tools/x", deadlineMillis = 9_000))
        starting.nowMillis += 1_000
        starting.apply(ClockTicked)
        assertEquals(RejectReason.NO_CONFIGURATION, starting.singleEffect<Reject>().reason)
        starting.apply(ClockTicked)
        assertEquals(emptyList(), starting.effects)
    }

    @Test
    fun `a turn is sent once its history and its budget are known`() {
        bench.arrive(1, bench.turnRequest(previous = "t0"))
        assertEquals(2, bench.effects.size)
        bench.apply(HistoryLoaded(1, HistoryResult.FOUND))
        assertEquals(emptyList(), bench.effects)
        bench.apply(TokensReserved(1, ReservationResult.RESERVED))
        assertEquals("engine-1", bench.singleEffect<SendToServer>().server.id)
    }

    @Test
    fun `a turn that cannot be looked up is refused as not run and its reservation is released`() {
        val expected =
            mapOf(
                HistoryResult.NO_SUCH_TURN to RejectReason.UNKNOWN_TURN,
                HistoryResult.UNCERTAIN to RejectReason.TURN_UNCERTAIN,
            )
        for ((result, reason) in expected) {
            val bench = ServingBench()
            bench.arrive(1, bench.turnRequest(previous = "t0"))
            bench.apply(HistoryLoaded(1, result))
            assertIs<SettleTokens>(bench.effects[0])
            assertEquals(reason, assertIs<Reject>(bench.effects[1]).reason)
        }
    }

    @Test
    fun `a spent budget is refused as not run`() {
        bench.arrive(1, bench.turnRequest(previous = null))
        bench.apply(TokensReserved(1, ReservationResult.SPENT))
        assertEquals(
            RejectReason.BUDGET_SPENT,
            bench.effects
                .filterIsInstance<Reject>()
                .single()
                .reason,
        )
    }

    @Test
    fun `a request that may have run is not sent again`() {
        bench.arrive(1, bench.plainRequest("/orders/x"))
        bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN))
        assertEquals(RejectReason.SERVER_FAILED, bench.singleEffect<Reject>().reason)
    }

    @Test
    fun `a repeatable request that may have run is not refused as not run when no other server is left`() {
        bench.apply(ConfigAccepted(bench.config.copy(version = 2, routes = bench.config.routes.map { it.copy(maxAttempts = 2) })))
        bench.arrive(1, bench.plainRequest("/tools/x"))
        bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN))
        assertEquals(RejectReason.SERVER_FAILED, bench.singleEffect<Reject>().reason)
    }

    @Test
    fun `a refused request goes to another server`() {
        bench.addServer("tool-2", "tools")
        bench.arrive(1, bench.plainRequest("/orders/x"))
        val first = bench.singleEffect<SendToServer>().server.id
        bench.apply(AttemptEnded(1, AttemptOutcome.NOT_RUN))
        assertTrue(bench.singleEffect<SendToServer>().server.id != first)
    }

    @Test
    fun `at its deadline a request that was sent fails and one that was not sent is refused`() {
        bench.arrive(1, bench.plainRequest("/tools/x", deadlineMillis = 300))
        bench.arrive(2, bench.turnRequest(previous = "t0", deadlineMillis = 300))
        bench.nowMillis += 301
        bench.apply(ClockTicked)
        val reasons = bench.effects.filterIsInstance<Reject>().associate { it.key to it.reason }
        assertEquals(mapOf(1L to RejectReason.TIMED_OUT, 2L to RejectReason.DEADLINE_PASSED), reasons)
    }

    @Test
    fun `a draining server and a server of another service receive no request`() {
        bench.apply(ServerChanged(bench.server("tool-1", "tools").copy(isDraining = true)))
        bench.arrive(1, bench.plainRequest("/tools/x"))
        assertEquals(RejectReason.NO_SERVER, bench.singleEffect<Reject>().reason)
    }

    @Test
    fun `an entry that expires while the store is unreachable is used until the end of the grace period`() {
        bench.apply(StoreReachabilityChanged(false))
        bench.apply(ServersListed(emptyList()))
        bench.arrive(1, bench.plainRequest("/tools/x"))
        assertEquals("tool-1", bench.singleEffect<SendToServer>().server.id)
        bench.apply(StoreReachabilityChanged(true))
        bench.nowMillis += ServingSettings().expiredEntryGraceMillis
        bench.apply(ClockTicked)
        bench.arrive(2, bench.plainRequest("/tools/x"))
        assertEquals(RejectReason.NO_SERVER, bench.singleEffect<Reject>().reason)
    }

    @Test
    fun `a server that starts again under its id is taken as new`() {
        bench.apply(ServerChanged(bench.server("tool-1", "tools").copy(startedEpochMillis = 5)))
        assertEquals(CloseServerConnections("tool-1"), bench.singleEffect<CloseServerConnections>())
    }

    @Test
    fun `an older configuration never replaces a newer one`() {
        bench.apply(ConfigAccepted(bench.config.copy(version = 3, routes = emptyList())))
        bench.apply(ConfigAccepted(bench.config))
        assertEquals(3, bench.state.configVersion)
    }

    @Test
    fun `a disconnected caller cancels the attempt at the server`() {
        bench.arrive(1, bench.plainRequest("/tools/x"))
        bench.apply(CallerDisconnected(1))
        assertEquals(CancelAttempt(1), bench.singleEffect<CancelAttempt>())
        assertEquals(0, bench.state.pendingRequests)
    }
}
