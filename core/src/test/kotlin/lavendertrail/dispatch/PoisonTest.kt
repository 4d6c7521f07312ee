package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId
import lavendertrail.reducer.PoisonLearned
import lavendertrail.reducer.PoisonLifted
import lavendertrail.reducer.PoisonMark
import lavendertrail.reducer.SavePoisonMark
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.ServerReachability
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PoisonTest {
    private fun DispatchFixture.crash(server: ServerId) {
        running.values.removeIf { it.server == server }
        send(ServerReachability(server, reachable = false))
        send(ServerReachability(server, reachable = true, incarnation = "after-$nowMillis"))
        send(ServerLoadReported(server, load()))
    }

    private fun DispatchFixture.fillWith(
        server: ServerId,
        count: Int,
    ): List<CallId> {
        var number = 0
        while (running.values.count { it.server == server } < count) request(modelCall(program("i${number++}")))
        return running.values.filter { it.server == server }.map { it.call }
    }

    /** Guards against a request that crashes one server after the other, and against refusing the calls that ran beside it. */
    @Test
    fun `a poison request is identified by running suspected requests alone`() {
        val fixture = DispatchFixture((1..4).map { engine(it, maxRunningCalls = 8) })
        val poison = fixture.request(modelCall(program("poison"), fingerprint = "bad"))
        val crashed = checkNotNull(fixture.serverOf(poison))
        val harmless = fixture.fillWith(crashed, 3) - poison
        fixture.crash(crashed)
        assertEquals(3, fixture.state.poisonMarks(fixture.nowMillis).size)

        val crashes = mutableListOf(crashed)
        repeat(200) {
            val suspects = fixture.running.values.filter { it.attempt > 1 }
            for (suspect in suspects) {
                assertEquals(1, fixture.running.values.count { it.server == suspect.server }, "a suspected request must run alone")
                if (suspect.call == poison) crashes += suspect.server.also { fixture.crash(it) } else fixture.complete(suspect.call)
            }
            fixture.running.values
                .toList()
                .filter { it.attempt == 1 }
                .forEach { fixture.complete(it.call) }
            fixture.tick(500)
        }
        assertEquals(2, crashes.size)
        assertEquals(RefusalReason.POISON_REQUEST, fixture.refusal(poison)?.reason)
        assertEquals(RunOutcome.MAY_HAVE_RUN, fixture.refusal(poison)?.outcome)
        harmless.forEach { assertNull(fixture.refusal(it)) }
        assertEquals(listOf("bad"), fixture.state.poisonMarks(fixture.nowMillis).map { it.fingerprint })
        assertTrue(fixture.effects.filterIsInstance<SavePoisonMark>().any { it.mark.crashes == 0 })

        val later = fixture.request(modelCall(program("other"), fingerprint = "bad"))
        assertEquals(RunOutcome.NOT_RUN, fixture.refusal(later)?.outcome)
        assertEquals(RefusalReason.POISON_REQUEST, fixture.refusal(later)?.reason)
    }

    /** Guards against copies of one request that crash a third server before the first crash is known. */
    @Test
    fun `the same request runs on at most two servers at once`() {
        val fixture = DispatchFixture()
        val calls = (0..9).map { fixture.request(modelCall(program("p$it"), fingerprint = "same")) }
        assertEquals(
            2,
            fixture.running.values
                .map { it.server }
                .toSet()
                .size,
        )
        while (fixture.running.isNotEmpty()) {
            fixture.complete(fixture.running.keys.first())
            assertTrue(
                fixture.running.values
                    .map { it.server }
                    .toSet()
                    .size <= 2,
            )
        }
        assertEquals(calls.toSet(), fixture.finished.map { it.call }.toSet())
    }

    /** Guards against a quarantine that never ends, and against one that other nodes don't apply. */
    @Test
    fun `poison marks expire, are lifted and are received from other nodes`() {
        val settings = DispatchSettings()

        fun refused(prepare: DispatchFixture.() -> Unit): Boolean {
            val fixture = DispatchFixture()
            fixture.send(PoisonLearned(listOf(PoisonMark("bad", 2, setOf(server(1), server(2)), fixture.nowMillis))))
            fixture.prepare()
            return fixture.refusal(fixture.request(modelCall(program("p"), fingerprint = "bad"))) != null
        }
        assertEquals(true, refused { })
        assertEquals(true, refused { tick(settings.poisonExpiryMillis - 1, stepMillis = settings.poisonExpiryMillis) })
        assertEquals(false, refused { tick(settings.poisonExpiryMillis, stepMillis = settings.poisonExpiryMillis) })
        assertEquals(false, refused { send(PoisonLifted("bad")) })
        assertEquals(false, refused { send(PoisonLearned(listOf(PoisonMark("bad", 0, emptySet(), nowMillis)))) })
        assertEquals(
            false,
            refused {
                send(PoisonLifted("bad"))
                send(PoisonLearned(listOf(PoisonMark("bad", 2, setOf(server(1)), nowMillis - 10))))
            },
        )
    }

    /** Guards against nodes that count crashes separately, so that the request crashes more servers than permitted. */
    @Test
    fun `crashes seen by two nodes add up`() {
        val register =
            PoisonRegister()
                .withCrash("fp", server(1), nowMillis = 10, expiryMillis = 1_000)
                .withMark(PoisonMark("fp", 1, setOf(server(2)), 20))
        assertEquals(2, register.crashCount("fp", nowMillis = 30, expiryMillis = 1_000))
    }

    /** Guards against a suspected request that waits forever because no server becomes idle. */
    @Test
    fun `a suspected request gets a server although all are busy`() {
        val fixture = DispatchFixture((1..2).map { engine(it, maxRunningCalls = 4) })
        val poison = fixture.request(modelCall(program("suspect"), fingerprint = "fp"))
        fixture.crash(checkNotNull(fixture.serverOf(poison)))
        repeat(40) { fixture.request(modelCall(program("n$it"))) }
        repeat(40) {
            if (poison !in fixture.running) {
                fixture.running.keys
                    .firstOrNull()
                    ?.let { call -> fixture.complete(call) }
            }
            fixture.tick(200)
        }
        assertNotNull(fixture.serverOf(poison))
        assertEquals(1, fixture.running.values.count { it.server == fixture.serverOf(poison) })
    }
}
