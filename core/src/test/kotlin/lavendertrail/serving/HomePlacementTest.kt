package lavendertrail.serving

import lavendertrail.model.FailureDomain
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against requests that leave their home server without a reason, or stay there at the cost of callers. */
class HomePlacementTest {
    private val settings = ServingSettings(homePreferenceMillis = 10.0)
    private val servers = servers(71, listOf(2, 6, 12))
    private val order = nearestServers(subjectHash(placementInput("s1", servers, settings).request), servers, 71)
    private val home = order.first()

    private fun input(vararg changed: ServerState) =
        placementInput("s1", servers.map { old -> changed.firstOrNull { it.server.id == old.server.id } ?: old }, settings)

    private fun place(input: PlacementInput) = assertIs<Placement.Send>(choosePlacement(input))

    private fun ServerState.without(input: PlacementInput) = input.copy(candidates = input.candidates.filter { it.server.id != server.id })

    @Test
    fun `a request that leaves its home says why`() {
        val parts = listOf(PromptPart("shared", 2_000), PromptPart("turn-1", 3_000), PromptPart("turn-2", 100))
        val prompt = input().run { copy(isEngine = true, request = request.copy(promptParts = parts)) }
        val remote = home.copy(server = home.server.copy(failureDomain = FailureDomain("b")))
        val failing = home.copy(backoffUntilMillis = 20_000)
        val busy = servers.map { it.copy(inFlight = it.slots) }.associateBy { it.server.id }
        val full = home.copy(inFlight = home.slots * 10)
        val patient = settings.copy(homePreferenceMillis = 1_000.0)
        val cases =
            mapOf(
                PlacementReason.HOME to input(),
                PlacementReason.CACHED_ELSEWHERE to prompt.copy(recentServerId = order[1].server.id),
                PlacementReason.HOME_SLOWER to input(home.copy(inFlight = home.slots - 1)),
                PlacementReason.HOME_FULL to input(home.copy(inFlight = home.slots)).copy(settings = patient),
                PlacementReason.HOME_IN_OTHER_DOMAIN to input(remote),
                PlacementReason.HOME_FAILING to failing.without(input(failing)),
                PlacementReason.HOME_LEAVING to home.without(input()),
                PlacementReason.RETRY to home.without(input()).copy(triedServers = setOf(home.server.id)),
            )
        for ((reason, case) in cases) {
            val placed = place(case)
            assertEquals(reason, placed.cause?.reason)
            assertEquals(order[if (reason == PlacementReason.HOME) 0 else 1].server.id, placed.server.id, "$reason")
        }
        assertTrue(checkNotNull(place(cases.getValue(PlacementReason.HOME_SLOWER)).cause?.homeSlowerMillis) >= 10)
        assertEquals(PlacementReason.HOME, place(input(*busy.values.toTypedArray()).copy(settings = patient)).cause?.reason)
        val overfull = input(*(busy + (full.server.id to full)).values.toTypedArray()).copy(settings = patient)
        assertEquals(PlacementReason.HOME_FULL, place(overfull).cause?.reason)
        assertNull(place(input().copy(settings = ServingSettings())).cause)
    }

    @Test
    fun `a full home gives only its overflow to the next in order`() {
        val patient = settings.copy(homePreferenceMillis = 1_000.0)
        val states = servers.associateByTo(mutableMapOf()) { it.server.id }
        val requests = order.take(3).sumOf { it.slots }
        repeat(requests) {
            val placed = place(placementInput("s1", states.values.toList(), patient)).server
            states.computeIfPresent(placed.id) { _, state -> state.withAttemptStarted(emptyList(), 0) }
        }
        val inFlight = order.map { states.getValue(it.server.id).inFlight }
        assertEquals(order.take(3).map { it.slots } + List(servers.size - 3) { 0 }, inFlight)
    }

    @Test
    fun `a server that drains or turns slow moves only its own sessions, each to the next in its order`() {
        val slow = home.copy(load = ReportedLoad(home.slots, home.slots * 2, home.slots), loadReportedAtMillis = 10_000)
        val sessions = List(5_000) { "session-$it" }
        val homes = sessions.associateWith { place(placementInput(it, servers, settings)).server.id }
        for (changed in listOf(servers.map { if (it === home) slow else it }, servers - home)) {
            for (session in sessions) {
                val input = placementInput(session, changed, settings).copy(listed = servers)
                val next = nearestServers(subjectHash(input.request), servers, 2).first { it !== home }
                assertEquals(next.server.id, place(input).server.id, "$session of ${homes[session]}")
            }
        }
        assertTrue(homes.values.any { it == home.server.id })
    }

    @Test
    fun `the reducer names the cause, and that of a permit`() {
        val bench = ServingBench(settings = settings)
        val leaving = bench.server("tool-1", "tools")
        bench.addServer("tool-2", "tools")
        val tools = listOf(leaving, bench.server("tool-2", "tools")).map { ServerState(it, CachedParts(1)) }
        val request = List(99) { bench.plainRequest("/tools/$it") }.first { homeOf(subjectHash(it), tools) === tools[0] }
        bench.arrive(1, request)
        assertEquals(PlacementCause(PlacementReason.HOME), bench.singleEffect<SendToServer>().cause)
        bench.apply(ServerLeavingSeen(1, leaving))
        bench.arrive(2, request)
        assertEquals(PlacementReason.HOME_LEAVING, bench.singleEffect<SendToServer>().cause?.reason)
        bench.apply(AttemptEnded(2, AttemptOutcome.NOT_RUN, requestsPerSecondLimit = 5.0))
        val asked = bench.effects.filterIsInstance<RequestPermit>().single()
        bench.apply(PermitDecided(2, asked.candidates, asked.maxWaitMillis, PermitDecision("tool-2", 0, emptyMap())))
        assertEquals(PlacementReason.PERMIT, bench.singleEffect<SendToServer>().cause?.reason)
    }
}
