package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.FindStream
import lavendertrail.reducer.HostListReceived
import lavendertrail.reducer.PollLoad
import lavendertrail.reducer.ProgramGone
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.ServerReachability
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.StreamFound
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class FaultsTest {
    private class Case(
        val call: DispatchCall,
        val failure: AttemptFailure,
        val expected: String,
    )

    private fun DispatchFixture.describe(call: CallId): String {
        val end = finished.firstOrNull { it.call == call } ?: return if (call in running) "runs again" else "waits"
        return when (val result = end.result) {
            is CallResult.Answered -> "answered"
            is CallResult.Refused -> "${result.refusal.outcome} ${result.refusal.reason}"
        }
    }

    /** Guards against a second run of a call that must not repeat, and against outcomes that claim too much. */
    @Test
    fun `what follows an attempt's failure`() {
        val repeatable = modelCall(program("p"))
        val single = modelCall(program("p"), repeatable = false)
        val tool = toolCall(program("p"))
        val cases =
            listOf(
                Case(repeatable, AttemptFailure.REJECTED, "runs again"),
                Case(repeatable, AttemptFailure.BUSY, "runs again"),
                Case(repeatable, AttemptFailure.CONNECTION_LOST, "runs again"),
                Case(repeatable, AttemptFailure.IDLE, "runs again"),
                Case(repeatable, AttemptFailure.DEADLINE, "MAY_HAVE_RUN DEADLINE"),
                Case(repeatable, AttemptFailure.ERROR, "runs again"),
                Case(single, AttemptFailure.REJECTED, "runs again"),
                Case(single, AttemptFailure.BUSY, "runs again"),
                Case(single, AttemptFailure.CONNECTION_LOST, "MAY_HAVE_RUN SERVER_FAILED"),
                Case(single, AttemptFailure.IDLE, "MAY_HAVE_RUN SERVER_FAILED"),
                Case(single, AttemptFailure.DEADLINE, "MAY_HAVE_RUN DEADLINE"),
                Case(single, AttemptFailure.ERROR, "RUN SERVER_FAILED"),
                Case(tool, AttemptFailure.REJECTED, "runs again"),
                Case(tool, AttemptFailure.CONNECTION_LOST, "MAY_HAVE_RUN SERVER_FAILED"),
                Case(tool, AttemptFailure.DEADLINE, "MAY_HAVE_RUN DEADLINE"),
                Case(tool, AttemptFailure.ERROR, "RUN TOOL_FAILED"),
            )
        val actual =
            cases.map { case ->
                val fixture = DispatchFixture()
                val call = fixture.request(case.call)
                val server = checkNotNull(fixture.serverOf(call))
                fixture.fail(call, case.failure)
                if (call !in fixture.running) fixture.send(ServerLoadReported(server, load()))
                fixture.tick(1_500)
                fixture.describe(call)
            }
        assertEquals(cases.map { it.expected }, actual)
    }

    /** Guards against a retry on the server that just failed. */
    @Test
    fun `another server is preferred for a retry`() {
        for (failure in listOf(AttemptFailure.REJECTED, AttemptFailure.BUSY, AttemptFailure.IDLE, AttemptFailure.ERROR)) {
            val fixture = DispatchFixture()
            val call = fixture.request(modelCall(program("p")))
            val first = fixture.serverOf(call)
            fixture.fail(call, failure)
            assertNotNull(fixture.serverOf(call), "$failure")
            assertNotEquals(first, fixture.serverOf(call), "$failure")
        }
    }

    /** Guards against a retry storm: a failing fleet gets at most the budget's share of extra calls. */
    @Test
    fun `retries stay within the budget`() {
        val fixture = DispatchFixture(settings = DispatchSettings(retryBurst = 5))
        val calls = 200
        repeat(calls) { number ->
            val call = fixture.request(modelCall(program("p$number")))
            while (call in fixture.running) {
                fixture.fail(call, AttemptFailure.ERROR)
            }
            fixture.tick(100)
        }
        val retries = fixture.started.size - calls
        assertTrue(retries in 20..25, "$retries retries of $calls calls")
        assertEquals(calls, fixture.finished.size)
    }

    /** Guards against a silent connection loss that is blamed on no one, and against blame without a crash. */
    @Test
    fun `a lost connection is a crash unless the server answers`() {
        for (answers in listOf(true, false)) {
            val fixture = DispatchFixture()
            val call = fixture.request(modelCall(program("p"), fingerprint = "fp"))
            val server = checkNotNull(fixture.serverOf(call))
            fixture.fail(call, AttemptFailure.CONNECTION_LOST)
            assertNull(fixture.serverOf(call))
            assertEquals(PollLoad(server), fixture.last<PollLoad>())
            if (answers) fixture.send(ServerLoadReported(server, load())) else fixture.tick(1_100)
            assertNotNull(fixture.serverOf(call))
            assertEquals(if (answers) 0 else 1, fixture.state.poisonMarks(fixture.nowMillis).size)
        }
    }

    /** Guards against calls that stay with a dead server until their deadline. */
    @Test
    fun `calls of a lost server fail over`() {
        val fixture = DispatchFixture()
        val again = fixture.request(modelCall(program("again")))
        val server = checkNotNull(fixture.serverOf(again))
        var single: CallId
        var number = 0
        do {
            single = fixture.request(modelCall(program("single${number++}"), repeatable = false))
        } while (fixture.serverOf(single) != server)
        fixture.send(ServerReachability(server, reachable = false))
        assertEquals(RunOutcome.MAY_HAVE_RUN, fixture.refusal(single)?.outcome)
        assertNull(fixture.refusal(again))
        assertTrue(fixture.effects.any { it is CancelAttempt && it.call == again })
        fixture.running.keys
            .filter { it != again && fixture.serverOf(it) != server }
            .forEach { fixture.complete(it) }
        fixture.tick(6_000)
        assertNotNull(fixture.serverOf(again))
        assertNotEquals(server, fixture.serverOf(again))
    }

    /** Guards against new work for a server that leaves, by each of the three ways to learn of it. */
    @Test
    fun `a leaving server gets no new work and keeps what runs`() {
        val all = (1..4).map { server(it) }.toSet()
        val cases =
            mapOf(
                "host list" to HostListReceived(all - server(2), setOf(server(2))),
                "missing from host list" to HostListReceived(all - server(2), emptySet()),
                "load report" to ServerLoadReported(server(2), load(leaving = true)),
            )
        for ((name, event) in cases) {
            val fixture = DispatchFixture()
            repeat(4) { fixture.request(modelCall(program("a$it"))) }
            val before = fixture.running.filterValues { it.server == server(2) }.keys
            fixture.send(event)
            fixture.started.clear()
            repeat(20) { fixture.request(modelCall(program("b$it"))) }
            assertTrue(fixture.started.none { it.server == server(2) }, name)
            assertTrue(fixture.running.keys.containsAll(before), name)
        }
    }

    /** Guards against calls on a vanished host whose connection never breaks, and against trust in a wrong list. */
    @Test
    fun `a server that the host list no longer names is given up without a sign of life`() {
        for (alive in listOf(true, false)) {
            val fixture = DispatchFixture()
            val call = fixture.request(modelCall(program("p")))
            val server = checkNotNull(fixture.serverOf(call))
            fixture.send(HostListReceived((1..4).map { server(it) }.toSet() - server, emptySet()))
            fixture.tick(500)
            if (alive) fixture.firstToken(call)
            fixture.tick(1_000)
            assertEquals(alive, fixture.serverOf(call) == server)
        }
        val fixture = DispatchFixture()
        fixture.send(HostListReceived(emptySet(), emptySet()))
        assertNotNull(fixture.serverOf(fixture.request(modelCall(program("p")))))
    }

    private class RecoveryCase(
        val name: String,
        val call: DispatchCall,
        val found: Boolean,
        val expected: String,
    )

    /** Guards against a recovered call that is sent a second time, and against a stream that is not continued. */
    @Test
    fun `recovered calls are looked for before anything is sent`() {
        val recovered = modelCall(program("p")).copy(recovered = true)
        val cases =
            listOf(
                RecoveryCase("found", recovered, found = true, "resumed at engine-3"),
                RecoveryCase("not found, repeatable", recovered, found = false, "sent"),
                RecoveryCase("not found, not repeatable", recovered.copy(repeatable = false), found = false, "MAY_HAVE_RUN UNRESOLVED"),
                RecoveryCase("not found, resume only", recovered.copy(resumeOnly = true), found = false, "MAY_HAVE_RUN UNRESOLVED"),
            )
        val actual =
            cases.map { case ->
                val fixture = DispatchFixture()
                val call = fixture.request(case.call)
                assertNotNull(fixture.last<FindStream>())
                assertTrue(fixture.started.isEmpty())
                fixture.send(StreamFound(call, server(3).takeIf { case.found }))
                val start = fixture.started.singleOrNull()
                if (start == null) {
                    fixture.describe(call)
                } else if (start.resume) {
                    "resumed at ${start.server}"
                } else {
                    "sent"
                }
            }
        assertEquals(cases.map { it.expected }, actual)
    }

    /** Guards against a tool call that is sent again to learn whether it ran. */
    @Test
    fun `the state of a recovered tool call is asked for and never sent again`() {
        val fixture = DispatchFixture()
        val call = fixture.request(toolCall(program("p")).copy(recovered = true, resumeOnly = true))
        assertTrue(checkNotNull(fixture.last<StartAttempt>()).resume)
        fixture.fail(call, AttemptFailure.REJECTED)
        fixture.tick(2_000)
        fixture.fail(call, AttemptFailure.UNKNOWN_STREAM)
        assertEquals("MAY_HAVE_RUN UNRESOLVED", fixture.describe(call))
        assertTrue(fixture.started.all { it.resume })
    }

    /** Guards against waiting calls without end, and against "not run" about a call that runs. */
    @Test
    fun `deadlines and cancellation`() {
        val fixture = DispatchFixture(listOf(engine(1, maxRunningCalls = 1)))
        val deadline = fixture.nowMillis + 5_000
        val running = fixture.request(modelCall(program("running"), deadlineMillis = deadline))
        val waiting = fixture.request(modelCall(program("waiting"), deadlineMillis = deadline))
        val cancelled = fixture.request(modelCall(program("cancelled")))
        fixture.send(DispatchCancelled(cancelled))
        assertEquals("NOT_RUN CANCELLED", fixture.describe(cancelled))
        fixture.tick(5_100)
        assertEquals("NOT_RUN DEADLINE", fixture.describe(waiting))
        fixture.tick(3_000)
        assertEquals("MAY_HAVE_RUN DEADLINE", fixture.describe(running))
        val second = fixture.request(modelCall(program("second")))
        fixture.send(DispatchCancelled(second))
        assertEquals("MAY_HAVE_RUN CANCELLED", fixture.describe(second))
        assertTrue(fixture.effects.any { it is CancelAttempt && it.call == second })
    }

    /** Guards against calls that cannot run anywhere but wait, and against a queue without bound. */
    @Test
    fun `calls are refused early`() {
        val noServer = DispatchFixture(servers = emptyList())
        assertEquals("NOT_RUN NO_SERVER", noServer.describe(noServer.request(modelCall(program("p")))))

        val fixture = DispatchFixture(listOf(engine(1, maxRunningCalls = 1)), DispatchSettings(maxQueuedCalls = 3))
        fixture.request(modelCall(program("running")))
        val batch = (0..1).map { fixture.request(modelCall(program("b$it"), serviceClass = lavendertrail.model.ServiceClass.BATCH)) }
        val normal = (0..2).map { fixture.request(modelCall(program("n$it"))) }
        assertEquals(listOf("NOT_RUN OVERLOADED", "NOT_RUN OVERLOADED"), batch.map { fixture.describe(it) })
        assertEquals(listOf("waits", "waits", "waits"), normal.map { fixture.describe(it) })
        assertTrue(checkNotNull(fixture.refusal(batch.first())?.retryAfterMillis) >= 200)
        val more = fixture.request(modelCall(program("n3")))
        assertEquals(RefusalReason.OVERLOADED, fixture.refusal(more)?.reason)
    }

    /** Guards against two owners that both run a call of a program that moved. */
    @Test
    fun `calls of a program that moved are not retried here`() {
        val fixture = DispatchFixture(listOf(engine(1, maxRunningCalls = 1)))
        val running = fixture.request(modelCall(program("a")))
        val waiting = fixture.request(modelCall(program("b")))
        fixture.send(ProgramGone(program("a"), moved = true))
        fixture.send(ProgramGone(program("b"), moved = true))
        assertEquals("NOT_RUN NOT_OWNER", fixture.describe(waiting))
        assertTrue(fixture.effects.none { it is CancelAttempt })
        fixture.fail(running, AttemptFailure.REJECTED)
        assertEquals(1, fixture.started.size)
        assertEquals(2, fixture.finished.size)
    }
}
