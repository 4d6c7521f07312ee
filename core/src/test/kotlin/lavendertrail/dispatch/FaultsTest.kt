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

    /** Guards against a second run of a call that isn't repeatable, and against an outcome that is more definite than what is known. */
    @Test
    fun `a failed attempt is retried or refused by its failure`() {
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

    /** Guards against a retry storm: when all servers fail, retries stay within the budget's share of the calls. */
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

    /** Guards against a crash that is not counted when the connection is lost, and against a count although the server is alive. */
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

    /** Guards against calls that wait for a lost server until their deadline. */
    @Test
    fun `calls of a lost server fail over`() {
        val fixture = DispatchFixture()
        val repeatableCall = fixture.request(modelCall(program("again")))
        val server = checkNotNull(fixture.serverOf(repeatableCall))
        var singleRunCall: CallId
        var number = 0
        do {
            singleRunCall = fixture.request(modelCall(program("single${number++}"), repeatable = false))
        } while (fixture.serverOf(singleRunCall) != server)
        fixture.send(ServerReachability(server, reachable = false))
        assertEquals(RunOutcome.MAY_HAVE_RUN, fixture.refusal(singleRunCall)?.outcome)
        assertNull(fixture.refusal(repeatableCall))
        assertTrue(fixture.effects.any { it is CancelAttempt && it.call == repeatableCall })
        fixture.running.keys
            .filter { it != repeatableCall && fixture.serverOf(it) != server }
            .forEach { fixture.complete(it) }
        fixture.tick(6_000)
        assertNotNull(fixture.serverOf(repeatableCall))
        assertNotEquals(server, fixture.serverOf(repeatableCall))
    }

    /** Guards against new calls to a leaving server, for each of the three events that report it. */
    @Test
    fun `a leaving server gets no new calls and keeps its running ones`() {
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

    /** Guards against calls on a lost host whose connection never breaks, and against a host list without any configured server. */
    @Test
    fun `a server missing from the host list is lost unless it responds`() {
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

    /** Guards against a recovered call that is sent a second time, and against a stream that is not resumed. */
    @Test
    fun `servers are queried for a recovered call before it is sent`() {
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

    /** Guards against sending a tool call again to find out whether it ran. */
    @Test
    fun `a recovered tool call is queried and never sent again`() {
        val fixture = DispatchFixture()
        val call = fixture.request(toolCall(program("p")).copy(recovered = true, resumeOnly = true))
        assertTrue(checkNotNull(fixture.last<StartAttempt>()).resume)
        fixture.fail(call, AttemptFailure.REJECTED)
        fixture.tick(2_000)
        fixture.fail(call, AttemptFailure.UNKNOWN_STREAM)
        assertEquals("MAY_HAVE_RUN UNRESOLVED", fixture.describe(call))
        assertTrue(fixture.started.all { it.resume })
    }

    /** Guards against calls that wait past their deadline, and against the outcome NOT_RUN for a running call. */
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

    /** Guards against queueing calls that no server can run, and against an unbounded queue. */
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

    /** Guards against two owner nodes that both run a call of a program that moved. */
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
