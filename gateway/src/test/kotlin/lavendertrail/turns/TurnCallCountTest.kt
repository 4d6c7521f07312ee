package lavendertrail.turns

import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import lavendertrail.serving.ReservationResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Replays programs of several turns against twelve turn hosts. Guards against calls per turn that grow with all hosts: on the
 * large deployment 19 calls for each turn's budget took most of the processor time of the entry hosts.
 */
class TurnCallCountTest {
    private fun withClient(
        hostCount: Int,
        tolerance: Int,
        test: (CountingTurnHosts, Session) -> Unit,
    ) {
        val group = singleEventLoop()
        CountingTurnHosts(hostCount).use { hosts ->
            val client = TurnClient(group, FailureDomain("d0"), cacheBytes = 0) {}
            val session = Session(client) { task -> group.next().submit(task).get() }
            session.onLoop { client.updateHosts(TurnHosts(hosts.hosts, tolerance)) }
            test(hosts, session)
            session.onLoop { client.close() }
        }
        group.shutdownGracefully()
    }

    private class Session(
        val client: TurnClient,
        val onLoop: (() -> Unit) -> Unit,
    ) {
        val hedgedCalls: Long get() = client.hedgedCallCount

        fun runTurn(
            program: String,
            attempt: String,
            budget: Int = 10_000,
        ): ReservationResult {
            val reserved = CompletableFuture<ReservationResult>()
            onLoop {
                client.reserve(
                    use(program, attempt, 50, isSettled = false),
                    budget,
                    2_000,
                ) { result, _ -> reserved.complete(result) }
            }
            val result = reserved.get(5, TimeUnit.SECONDS)
            val stored = CompletableFuture<Boolean>()
            val turn = TurnRecord(attempt, program, null, ByteArray(10), ByteArray(10), System.currentTimeMillis() + 60_000)
            onLoop { client.storeTurn(turn, 2_000, onDone = stored::complete) }
            assertTrue(stored.get(5, TimeUnit.SECONDS), attempt)
            onLoop { client.settle(use(program, attempt, 10, isSettled = true)) }
            return result
        }

        private fun use(
            program: String,
            attempt: String,
            tokens: Int,
            isSettled: Boolean,
        ) = UseRecord(program, attempt, tokens, isSettled, System.currentTimeMillis() + 60_000)
    }

    @Test
    fun `a turn of a running program costs one call to each host of a majority and one for each copy`() {
        withClient(hostCount = 12, tolerance = 2) { hosts, session ->
            session.runTurn("warm-up", "w")
            TurnHostsFixture.awaitCondition("settled warm-up") { hosts.settledCopies("w") >= 7 }
            val before = hosts.callCount
            val hedgedBefore = session.hedgedCalls
            repeat(TURNS) { session.runTurn("p", "a$it") }
            val lastSettlementCalls = 7
            // A host that gets no processor time for a while is replaced by another one, as below.
            val hedgedCalls = session.hedgedCalls - hedgedBefore
            val calls = hosts.callCount - before
            val description = "$calls calls for $TURNS turns, of which $hedgedCalls were in place of slow hosts"
            assertTrue(calls <= TURNS * (7 + 3) + lastSettlementCalls + hedgedCalls, description)
        }
    }

    @Test
    fun `each call beyond those of a turn is one in place of a slow host`() {
        withClient(hostCount = 12, tolerance = 2) { hosts, session ->
            session.runTurn("warm-up", "w")
            TurnHostsFixture.awaitCondition("settled warm-up") { hosts.settledCopies("w") >= 7 }
            val before = hosts.callCount
            val hedgedBefore = session.hedgedCalls
            hosts.replyDelayMillis = 60
            session.runTurn("p", "a0")
            val hedgedCalls = session.hedgedCalls - hedgedBefore
            assertTrue(hedgedCalls > 0)
            assertEquals(7 + 3 + hedgedCalls, (hosts.callCount - before).toLong())
        }
    }

    @Test
    fun `a program's last use is settled at a majority of the hosts within a second`() {
        withClient(hostCount = 5, tolerance = 1) { hosts, session ->
            session.runTurn("p", "a1")
            TurnHostsFixture.awaitCondition("settlement", timeoutMillis = 1_000) { hosts.settledCopies("a1") >= 3 }
        }
    }

    @Test
    fun `a reservation counts the pending settlement of the turn before`() {
        withClient(hostCount = 5, tolerance = 1) { _, session ->
            assertEquals(ReservationResult.RESERVED, session.runTurn("p", "a1", budget = 60))
            assertEquals(ReservationResult.RESERVED, session.runTurn("p", "a2", budget = 60))
        }
    }

    @Test
    fun `a process that shuts down sends its pending settlements at once`() {
        withClient(hostCount = 5, tolerance = 1) { hosts, session ->
            session.runTurn("p", "a1")
            session.onLoop { session.client.stopDelayingSettlements() }
            session.runTurn("q", "b1")
            TurnHostsFixture.awaitCondition("settlements", timeoutMillis = 250) {
                hosts.settledCopies("a1") >= 3 && hosts.settledCopies("b1") >= 3
            }
        }
    }

    private companion object {
        const val TURNS = 10
    }
}
