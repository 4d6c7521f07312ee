package lavendertrail.dispatch

import kotlinx.collections.immutable.persistentMapOf
import lavendertrail.config.AccountRecord
import lavendertrail.membership.AccountShare
import lavendertrail.membership.OwnedPartition
import lavendertrail.membership.OwnershipPhase
import lavendertrail.membership.ProbeMessage
import lavendertrail.model.AccountId
import lavendertrail.model.ModelId
import lavendertrail.model.NodeId
import lavendertrail.model.OwnerId
import lavendertrail.model.PartitionId
import lavendertrail.model.Usage
import lavendertrail.reducer.Effect
import lavendertrail.reducer.ListPins
import lavendertrail.reducer.LoadModel
import lavendertrail.reducer.ModelOrderEnded
import lavendertrail.reducer.PinCache
import lavendertrail.reducer.PinsReported
import lavendertrail.reducer.ProbeReceived
import lavendertrail.reducer.ProgramGone
import lavendertrail.reducer.ProgramPaused
import lavendertrail.reducer.ProgramResumed
import lavendertrail.reducer.ReleaseCache
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.TransferCache
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LearningTest {
    private fun sample(
        firstTokenMillis: Long,
        nowMillis: Long,
        running: Int = 32,
    ) = LatencySample(nowMillis - firstTokenMillis, firstTokenMillis, expectedMillis = 100.0, running, maxRunningCalls = 32, nowMillis)

    /** Guards against a limit that grows while unused, collapses after one burst, or exceeds its bounds. */
    @Test
    fun `the limit follows the time to first token`() {
        var state = LimitState()
        repeat(50) { state = latencyBasedLimit.afterSample(state, sample(100, it * 10L)) }
        assertEquals(32, latencyBasedLimit.callLimitOf(state, 32))
        repeat(40) { state = latencyBasedLimit.afterSample(state, sample(if (it % 4 == 0) 4_000 else 100, 5_000 + it * 10L)) }
        assertEquals(32, latencyBasedLimit.callLimitOf(state, 32))
        repeat(20) { state = latencyBasedLimit.afterSample(state, sample(4_000, 10_000 + it * 10L)) }
        assertEquals(27, latencyBasedLimit.callLimitOf(state, 32))
        repeat(120) { state = latencyBasedLimit.afterSample(state, sample(4_000, 20_000 + it * 10_000L)) }
        assertEquals(1, latencyBasedLimit.callLimitOf(state, 32))
        val unused = latencyBasedLimit.afterSample(state.copy(calls = 10.0), sample(100, 2_000_000, running = 2))
        assertEquals(10.0, unused.calls)
        assertEquals(7, latencyBasedLimit.callLimitOf(latencyBasedLimit.afterOverload(unused.copy(calls = 10.0), 32, 3_000_000), 32))
    }

    /** Guards against starting more calls on a server than its adapted limit. */
    @Test
    fun `late first tokens reduce the number of running calls`() {
        val fixture = DispatchFixture(listOf(engine(1, maxRunningCalls = 8)))
        repeat(400) { fixture.request(modelCall(program("p$it"))) }
        repeat(60) {
            fixture.nowMillis += 3_000
            fixture.running.keys
                .toList()
                .forEach { fixture.firstToken(it) }
            fixture.running.keys
                .toList()
                .forEach { fixture.complete(it) }
        }
        assertEquals(1, fixture.running.size)
    }

    /** Guards against an account that may use its whole limit on each node. */
    @Test
    fun `an account's limit is divided between nodes`() {
        fun running(vararg peers: AccountShare): Int {
            val accounts = listOf(AccountRecord(AccountId("acct"), OwnerId("barakah"), maxRunningCalls = 6))
            val fixture = DispatchFixture((1..4).map { engine(it, maxRunningCalls = 16) }, accounts = accounts)
            peers.forEachIndexed { index, share ->
                fixture.send(ProbeReceived(ProbeMessage(NodeId("peer-$index"), 1, false, 0, emptyList(), accountShares = listOf(share))))
            }
            repeat(12) { fixture.request(modelCall(program("p$it"))) }
            val other = fixture.request(modelCall(program("other"), account = "other"))
            assertTrue(other in fixture.running, "a call of another account must not wait")
            fixture.tick(600)
            val before = fixture.running.size - 1
            fixture.tick(DispatchSettings().accountShareExpiryMillis + 1_000)
            assertEquals(6, fixture.running.size - 1, "an expired share must not count")
            return before
        }
        assertEquals(6, running())
        assertEquals(3, running(AccountShare("acct", runningCalls = 3, waitingCalls = 9)))
        assertEquals(2, running(AccountShare("acct", runningCalls = 4, waitingCalls = 0)))
        assertEquals(1, running(AccountShare("acct", runningCalls = 6, waitingCalls = 50), AccountShare("acct", 6, 50)))
    }

    private class PauseCase(
        val name: String,
        val pausesMillis: List<Long>,
        val fillPercent: Int,
        val expected: String,
    )

    private fun Effect.describe(): String? =
        when (this) {
            is PinCache -> "pin $pinMillis"
            is ReleaseCache -> "release"
            is TransferCache -> "export"
            else -> null
        }

    /** Guards against losing a cache during a short pause, and against pinning one on a full server during a long pause. */
    @Test
    fun `the pause decision follows the tool's pause lengths and the cache fill`() {
        val cases =
            listOf(
                PauseCase("unknown tool", emptyList(), 10, "pin 30000"),
                PauseCase("short pauses", List(20) { 900L }, 10, "pin 1024"),
                PauseCase("long pauses", List(20) { 600_000L }, 10, "pin 120000"),
                PauseCase("short pauses under pressure", List(20) { 900L }, 95, "pin 1024"),
                PauseCase("long pauses under pressure", List(20) { 600_000L }, 95, "export"),
                PauseCase("long pauses, all servers full", List(20) { 600_000L }, 96, "release"),
            )
        val actual =
            cases.map { case ->
                val fixture = DispatchFixture(listOf(engine(1), engine(2)))
                case.pausesMillis.forEach { fixture.send(ProgramResumed(program("x"), "permits", it)) }
                val call = fixture.request(modelCall(program("p"), promptTokens = 8_000))
                val server = checkNotNull(fixture.serverOf(call))
                fixture.complete(call, Usage(promptTokens = 8_000))
                val fill = load(usedTokens = case.fillPercent * 4_000L)
                fixture.send(ServerLoadReported(server, fill))
                val other = if (server == server(1)) server(2) else server(1)
                fixture.send(ServerLoadReported(other, if (case.fillPercent == 96) fill else load()))
                fixture.send(ProgramPaused(program("p"), "permits")).firstNotNullOfOrNull { it.describe() }
            }
        assertEquals(cases.map { it.expected }, actual)
    }

    private fun DispatchFixture.ownPartitions(vararg partitions: Int) {
        val owned = partitions.associate { PartitionId(it) to OwnedPartition(OwnershipPhase.ACTIVE, epoch = 9, sinceMillis = 0) }
        state = state.copy(membership = state.membership.copy(owned = persistentMapOf<PartitionId, OwnedPartition>().putAll(owned)))
    }

    /** Guards against pins that remain after their programs ended, and against releasing pins of live or foreign programs. */
    @Test
    fun `pins are released at the end and by the sweep`() {
        val fixture = DispatchFixture()
        fixture.ownPartitions(0)
        val call = fixture.request(modelCall(program("p")))
        val server = checkNotNull(fixture.serverOf(call))
        fixture.complete(call)
        val live = fixture.request(modelCall(program("live")))
        assertEquals(listOf<Effect>(ReleaseCache(server, program("p"))), fixture.send(ProgramGone(program("p"), moved = false)))

        val pins = setOf(program("p"), live.program, lavendertrail.model.ProgramId("batinah-001-other"))
        fixture.tick(DispatchSettings().pinSweepMillis)
        assertEquals(
            (1..4).map { server(it) }.toSet(),
            fixture.effects
                .filterIsInstance<ListPins>()
                .map { it.server }
                .toSet(),
        )
        assertEquals(emptyList(), fixture.send(PinsReported(server, pins)))
        assertEquals(listOf<Effect>(ReleaseCache(server, program("p"))), fixture.send(PinsReported(server, pins)))
        assertNull(fixture.send(ProgramGone(live.program, moved = true)).filterIsInstance<ReleaseCache>().firstOrNull())
    }

    /** Guards against a busy model without servers while others are idle, against flapping, and against orders by another node. */
    @Test
    fun `a model gets a server when calls wait for long and gives it back`() {
        val other = ModelId("permit-desk")
        val servers = (1..3).map { engine(it, 1, listOf(MODEL, other)) } + (4..6).map { engine(it, 1, listOf(other, MODEL)) }

        fun DispatchFixture.report(
            number: Int,
            model: ModelId,
        ) = send(ServerLoadReported(server(number), load(models = listOf(model))))

        fun fixture(): DispatchFixture =
            DispatchFixture(servers).apply {
                (1..3).forEach { report(it, MODEL) }
                (4..6).forEach { report(it, other) }
                repeat(30) { request(modelCall(program("p$it"))) }
            }

        fun DispatchFixture.advance(millis: Long) {
            repeat((millis / 500).toInt()) {
                (4..6).forEach { report(it, other) }
                tick(500)
            }
        }
        val otherNode = fixture()
        otherNode.advance(30_000)
        assertNull(otherNode.last<LoadModel>())

        val controller = fixture()
        controller.ownPartitions(0)
        controller.advance(9_000)
        assertNull(controller.last<LoadModel>())
        controller.advance(3_000)
        val order = checkNotNull(controller.last<LoadModel>())
        assertEquals(MODEL to 9L, order.model to order.fencingToken)
        controller.advance(5_000)
        assertEquals(1, controller.effects.filterIsInstance<LoadModel>().size)

        controller.send(ModelOrderEnded(order.server, order.model, done = true, "loaded"))
        while (controller.running.isNotEmpty()) controller.complete(controller.running.keys.first())
        val switchedServer =
            order.server.value
                .substringAfter('-')
                .toInt()
        repeat(160) {
            (1..3).forEach { controller.report(it, MODEL) }
            (4..6).forEach { controller.report(it, if (it == switchedServer) MODEL else other) }
            controller.tick(500)
        }
        val orders = controller.effects.filterIsInstance<LoadModel>()
        assertEquals(listOf(MODEL, other), orders.take(2).map { it.model })
        assertEquals(order.server, orders[1].server)
    }
}
