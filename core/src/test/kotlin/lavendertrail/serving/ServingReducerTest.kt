package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Guards the way of a request through the reducer: what is sent, what is refused, and what a refusal promises. */
class ServingReducerTest {
    private val bench = ServingBench()

    @Test
    fun `a request goes to a ready server with the time that is left`() {
        bench.arrive(1, bench.plain("/tools/x", deadlineMillis = 900))
        val sent = bench.only<SendToServer>()
        assertEquals("tool-1", sent.server.id)
        assertEquals(900, sent.deadlineMillis)
    }

    @Test
    fun `an unknown route is refused`() {
        bench.arrive(1, bench.plain("/nowhere/x"))
        assertEquals(RejectReason.NO_ROUTE, bench.only<Reject>().reason)
    }

    @Test
    fun `a request without a configuration is refused at once by a process that has run for a while`() {
        val empty = ServingBench(isConfigured = false)
        empty.arrive(1, empty.plain("/tools/x"))
        assertEquals(RejectReason.NO_CONFIGURATION, empty.only<Reject>().reason)
    }

    @Test
    fun `a request that arrives just after the start is sent once the configuration is read`() {
        val starting = ServingBench(isConfigured = false, isStarting = true)
        starting.arrive(1, starting.plain("/tools/x", deadlineMillis = 900))
        starting.arrive(2, starting.plain("/tools/y", deadlineMillis = 900))
        assertEquals(emptyList(), starting.effects)
        starting.apply(CallerDisconnected(2))
        starting.nowMillis += 300
        starting.apply(ConfigAccepted(starting.config))
        assertEquals(emptyList(), starting.effects)
        starting.addServer("tool-2", "tools")
        val sent = starting.only<SendToServer>()
        assertEquals(1, sent.key)
        assertEquals(600, sent.deadlineMillis)
    }

    @Test
    fun `a request that waits for a configuration in vain is refused as not run`() {
        val starting = ServingBench(isConfigured = false, isStarting = true)
        starting.arrive(1, starting.plain("/tools/x", deadlineMillis = 9_000))
        starting.nowMillis += 1_000
        starting.apply(ClockTicked)
        assertEquals(RejectReason.NO_CONFIGURATION, starting.only<Reject>().reason)
        starting.apply(ClockTicked)
        assertEquals(emptyList(), starting.effects)
    }

    @Test
    fun `a turn is sent once its history and its budget are known`() {
        bench.arrive(1, bench.turn(previous = "t0"))
        assertEquals(2, bench.effects.size)
        bench.apply(HistoryLoaded(1, HistoryResult.FOUND))
        assertEquals(emptyList(), bench.effects)
        bench.apply(TokensReserved(1, ReservationResult.RESERVED))
        assertEquals("engine-1", bench.only<SendToServer>().server.id)
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
            bench.arrive(1, bench.turn(previous = "t0"))
            bench.apply(HistoryLoaded(1, result))
            assertIs<SettleTokens>(bench.effects[0])
            assertEquals(reason, assertIs<Reject>(bench.effects[1]).reason)
        }
    }

    @Test
    fun `a spent budget is refused as not run`() {
        bench.arrive(1, bench.turn(previous = null))
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
        bench.arrive(1, bench.plain("/orders/x"))
        bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN))
        assertEquals(RejectReason.SERVER_FAILED, bench.only<Reject>().reason)
    }

    @Test
    fun `a repeatable request that may have run is not refused as not run when no other server is left`() {
        bench.apply(ConfigAccepted(bench.config.copy(version = 2, routes = bench.config.routes.map { it.copy(maxAttempts = 2) })))
        bench.arrive(1, bench.plain("/tools/x"))
        bench.apply(AttemptEnded(1, AttemptOutcome.BROKEN))
        assertEquals(RejectReason.SERVER_FAILED, bench.only<Reject>().reason)
    }

    @Test
    fun `a refused request goes to another server`() {
        bench.addServer("tool-2", "tools")
        bench.arrive(1, bench.plain("/orders/x"))
        val first = bench.only<SendToServer>().server.id
        bench.apply(AttemptEnded(1, AttemptOutcome.NOT_RUN))
        assertTrue(bench.only<SendToServer>().server.id != first)
    }

    @Test
    fun `a request that was sent fails at its limit and one that was not is refused`() {
        bench.arrive(1, bench.plain("/tools/x", deadlineMillis = 300))
        bench.arrive(2, bench.turn(previous = "t0", deadlineMillis = 300))
        bench.nowMillis += 301
        bench.apply(ClockTicked)
        val reasons = bench.effects.filterIsInstance<Reject>().associate { it.key to it.reason }
        assertEquals(mapOf(1L to RejectReason.TIMED_OUT, 2L to RejectReason.DEADLINE_PASSED), reasons)
    }

    @Test
    fun `a draining server and a server of another service get nothing`() {
        bench.apply(ServerChanged(bench.server("tool-1", "tools").copy(isDraining = true)))
        bench.arrive(1, bench.plain("/tools/x"))
        assertEquals(RejectReason.NO_SERVER, bench.only<Reject>().reason)
    }

    @Test
    fun `an entry that lapses while the store is away is used until the grace time after its return`() {
        bench.apply(StoreReachabilityChanged(false))
        bench.apply(ServersListed(emptyList()))
        bench.arrive(1, bench.plain("/tools/x"))
        assertEquals("tool-1", bench.only<SendToServer>().server.id)
        bench.apply(StoreReachabilityChanged(true))
        bench.nowMillis += ServingSettings().lapsedGraceMillis
        bench.apply(ClockTicked)
        bench.arrive(2, bench.plain("/tools/x"))
        assertEquals(RejectReason.NO_SERVER, bench.only<Reject>().reason)
    }

    @Test
    fun `a server that starts again under its id is taken as new`() {
        bench.apply(ServerChanged(bench.server("tool-1", "tools").copy(startedEpochMillis = 5)))
        assertEquals(CloseServerConnections("tool-1"), bench.only<CloseServerConnections>())
    }

    @Test
    fun `an older configuration never replaces a newer one`() {
        bench.apply(ConfigAccepted(bench.config.copy(version = 3, routes = emptyList())))
        bench.apply(ConfigAccepted(bench.config))
        assertEquals(3, bench.state.configVersion)
    }

    @Test
    fun `a caller who leaves ends the work at the server`() {
        bench.arrive(1, bench.plain("/tools/x"))
        bench.apply(CallerDisconnected(1))
        assertEquals(CancelAttempt(1), bench.only<CancelAttempt>())
        assertEquals(0, bench.state.pendingRequests)
    }
}
