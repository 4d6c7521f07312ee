package lavendertrail.program

import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.dispatch.CallEntry
import lavendertrail.dispatch.DispatchCore
import lavendertrail.dispatch.DispatchState
import lavendertrail.dispatch.Target
import lavendertrail.history.HistoryRecord
import lavendertrail.model.Budget
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage
import lavendertrail.reducer.AnswerEnded
import lavendertrail.reducer.AnswerFromHistory
import lavendertrail.reducer.AnswerOpened
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.ChildOpenRequested
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.PartitionLost
import lavendertrail.reducer.ProgramEndRequested
import lavendertrail.reducer.ProgramGone
import lavendertrail.reducer.ProgramOpenRequested
import lavendertrail.reducer.SettleRequested
import lavendertrail.reducer.Tick
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ProgramLifecycleTest {
    private val child = root.child(1)

    /** Guards against a second program with the same id, and against a repeated open that changes the budget. */
    @Test
    fun `a repeated open returns the same program`() {
        val harness = ProgramHarness().open().send(ProgramOpenRequested(2, root, spec())).acknowledge()
        assertEquals(listOf(1L, 2L), harness.effects.filterIsInstance<AnswerOpened>().map { it.requestId })
        harness.send(ProgramOpenRequested(3, root, spec(Budget(1, 1, 1, 1))))
        assertEquals(RefusalReason.BAD_REQUEST, harness.refusal(3).reason)
    }

    /** Guards against sub-agents that outlive their parent, and against an end that is reported while a call still runs. */
    @Test
    fun `the end of a program ends its sub-agents and cancels their calls`() {
        val harness = ProgramHarness().open().send(ChildOpenRequested(2, root, 1, spec())).acknowledge()
        harness.submit(10, callOf(0, program = child)).send(ProgramEndRequested(3, root, "done")).acknowledge()
        assertEquals(listOf(DispatchCancelled(CallId(child, 0))), harness.signals.filterIsInstance<DispatchCancelled>())
        assertTrue(harness.effects.none { it is AnswerEnded })
        harness.finish(CallId(child, 0), answered("late"))
        assertEquals(listOf(child, root), harness.signals.filterIsInstance<ProgramGone>().map { it.program })
        val ended = harness.effects.filterIsInstance<AnswerEnded>().single()
        assertEquals(25, ended.total.totalTokens)
    }

    /** Guards against programs without an end, and against waiting for a cancelled call whose end is never reported. */
    @Test
    fun `a program ends when its wall time has passed`() {
        val harness = ProgramHarness().open(spec(Budget(100_000, 1_000_000, 5, 10_000))).submit(10, callOf(0))
        harness.nowMillis = 12_000
        harness.send(Tick)
        assertEquals(1, harness.signals.count { it is DispatchCancelled })
        harness.nowMillis = 18_000
        harness.send(Tick).acknowledge()
        assertEquals(RunOutcome.MAY_HAVE_RUN, harness.refusal(10).outcome)
        assertEquals(listOf(ProgramGone(root, moved = false)), harness.signals.filterIsInstance<ProgramGone>())
    }

    /** Guards against ended programs that stay in memory, and against reuse of their ids after eviction. */
    @Test
    fun `an ended program is evicted after its retention time and its id is never opened again`() {
        val harness = ProgramHarness().open().submit(10, callOf(0)).finish(CallId(root, 0), answered("zero"))
        harness.send(ProgramEndRequested(2, root, "done")).acknowledge()
        harness.nowMillis += 600_100
        harness.send(Tick)
        assertNull(harness.state.programSummary(root))
        for (node in listOf(harness, ProgramHarness().also { it.nowMillis = harness.nowMillis }.acquire(harness.journal.toList(), 2))) {
            node.send(ProgramOpenRequested(3, root, spec())).send(CallSubmitted(4, callOf(0)))
            assertEquals(RefusalReason.PROGRAM_ENDED, node.refusal(3).reason)
            val lookup = node.effects.filterIsInstance<AnswerFromHistory>().single()
            val stored = storedAnswer({ harness.journal }, lookup.call, lookup.bodySha256, lookup.recordCount)
            assertEquals("zero", (stored as CallResult.Answered).text)
        }
    }

    private class Recovery(
        val name: String,
        val request: CallRequest,
        val dispatched: Boolean,
        val resumeOnly: Boolean = false,
        val unresolved: Boolean = false,
    )

    /** Guards against repeating a call that must not be repeated, and against losing one that may. */
    @Test
    fun `calls without an outcome are recovered by their kind`() {
        val cases =
            listOf(
                Recovery("model call", callOf(0), dispatched = true),
                Recovery("repeatable tool", callOf(0, CallBody.ToolCall(search, "x")), dispatched = true),
                Recovery(
                    "tool with a status call",
                    callOf(0, CallBody.ToolCall(book, "x"), key = "k"),
                    dispatched = true,
                    resumeOnly = true,
                ),
                Recovery(
                    "tool without a status call",
                    callOf(0, CallBody.ToolCall(pay, "x"), key = "k"),
                    dispatched = false,
                    unresolved = true,
                ),
                Recovery("model call with a key", callOf(0, key = "k"), dispatched = false, unresolved = true),
            )
        for (case in cases) {
            val journal = ProgramHarness().open().submit(10, case.request).journal
            val harness = ProgramHarness().acquire(journal.toList(), 2).acknowledge()
            val sent = harness.dispatched()
            assertEquals(case.dispatched, sent.isNotEmpty(), case.name)
            assertTrue(sent.all { it.recovered && it.resumeOnly == case.resumeOnly }, case.name)
            assertEquals(case.unresolved, harness.state.unresolvedCalls().isNotEmpty(), case.name)
            harness.submit(11, case.request)
            if (case.unresolved) assertEquals(RefusalReason.UNRESOLVED, harness.refusal(11).reason, case.name)
        }
    }

    /** Guards against giving up a call that dispatch still runs when a journal node is replaced. */
    @Test
    fun `a call that dispatch still runs is awaited when the journal moves`() {
        val harness = ProgramHarness().open().submit(10, callOf(0, CallBody.ToolCall(pay, "x"), key = "k"))
        val running = harness.dispatched().single()
        val entry = CallEntry(running, Target.Tool(pay), harness.nowMillis, 1, harness.nowMillis)
        harness.state = harness.state.copy(dispatch = DispatchState(DispatchCore(calls = persistentHashMapOf(running.call to entry))))
        harness.send(PartitionLost(root.partition, "journal node lost")).acquire(harness.journal.toList(), 2).acknowledge()
        assertEquals(listOf(false, true), harness.dispatched().map { it.resumeOnly })
        harness.submit(11, callOf(0, CallBody.ToolCall(pay, "x"), key = "k")).finish(running.call, answered("paid"))
        assertEquals("paid", (harness.answers(11).single() as CallResult.Answered).text)
    }

    /** Guards against a settlement that is answered before it is durable, exceeds the reservation or charges twice. */
    @Test
    fun `a call that may have run is charged its full reservation until it is settled`() {
        val request = callOf(0, CallBody.ToolCall(pay, "x"), key = "k")
        val journal = ProgramHarness().open().submit(10, request).journal
        val harness = ProgramHarness().acquire(journal.toList(), 2).acknowledge()
        assertEquals(
            100,
            harness.state
                .programSummary(root)
                ?.usage
                ?.costMicros,
        )
        harness.send(SettleRequested(20, CallId(root, 0), RunOutcome.RUN, Usage(costMicros = 101), "ops"))
        assertEquals(RefusalReason.BAD_REQUEST, harness.refusal(20).reason)
        harness.send(SettleRequested(21, CallId(root, 0), RunOutcome.NOT_RUN, Usage(), "ops"))
        assertTrue(harness.answers(21).isEmpty())
        harness.acknowledge()
        assertEquals(RunOutcome.NOT_RUN, harness.refusal(21).outcome)
        val replayed = ProgramHarness().acquire(harness.journal.toList(), 3)
        for (node in listOf(harness, replayed)) {
            assertEquals(
                0,
                node.state
                    .programSummary(root)
                    ?.usage
                    ?.costMicros,
            )
            assertTrue(node.state.unresolvedCalls().isEmpty())
            node.submit(22, callOf(1, CallBody.ToolCall(pay, "x"), key = "k"))
            assertFalse(node.dispatched().any { it.key == "k" })
        }
    }

    /** Guards against the use of a history with a missing or changed record. */
    @Test
    fun `requests for a program with a damaged history are refused`() {
        val sound =
            ProgramHarness()
                .open()
                .submit(10, callOf(0))
                .finish(CallId(root, 0), answered("zero"))
                .journal
        val damages =
            mapOf<String, (List<HistoryRecord>) -> List<HistoryRecord>>(
                "missing" to { it - it[1] },
                "changed" to { records -> records.map { if (it.sequence == 2) it.copy(atMillis = 7) else it } },
                "without the opened record" to { it.drop(1) },
            )
        for ((name, damage) in damages) {
            val harness = ProgramHarness().acquire(damage(sound.toList()), 2).submit(11, callOf(0))
            assertEquals(
                RefusalReason.HISTORY_UNAVAILABLE to RunOutcome.MAY_HAVE_RUN,
                harness.refusal(11).let { it.reason to it.outcome },
                name,
            )
        }
        val doubled = ProgramHarness().acquire(sound.flatMap { listOf(it, it) }, 2).submit(11, callOf(0))
        assertEquals(1, doubled.answers(11).filterIsInstance<CallResult.Answered>().size)
    }
}
