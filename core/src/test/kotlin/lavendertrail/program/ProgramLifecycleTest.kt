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

    /** Guards against a second program under the same id, and against one that changes its budget. */
    @Test
    fun `opening again gets the same program`() {
        val bench = ProgramBench().open().send(ProgramOpenRequested(2, root, spec())).acknowledge()
        assertEquals(listOf(1L, 2L), bench.effects.filterIsInstance<AnswerOpened>().map { it.requestId })
        bench.send(ProgramOpenRequested(3, root, spec(Budget(1, 1, 1, 1))))
        assertEquals(RefusalReason.BAD_REQUEST, bench.refusal(3).reason)
    }

    /** Guards against sub-agents that outlive their parent, and against an end that hides a running call. */
    @Test
    fun `the end of a program ends its sub-agents and stops their calls`() {
        val bench = ProgramBench().open().send(ChildOpenRequested(2, root, 1, spec())).acknowledge()
        bench.submit(10, callOf(0, program = child)).send(ProgramEndRequested(3, root, "done")).acknowledge()
        assertEquals(listOf(DispatchCancelled(CallId(child, 0))), bench.signals.filterIsInstance<DispatchCancelled>())
        assertTrue(bench.effects.none { it is AnswerEnded })
        bench.finish(CallId(child, 0), answered("late"))
        assertEquals(listOf(child, root), bench.signals.filterIsInstance<ProgramGone>().map { it.program })
        val ended = bench.effects.filterIsInstance<AnswerEnded>().single()
        assertEquals(25, ended.total.totalTokens)
    }

    /** Guards against programs that run for ever, and against a cancelled call whose end is never reported. */
    @Test
    fun `a program ends when its wall time has passed`() {
        val bench = ProgramBench().open(spec(Budget(100_000, 1_000_000, 5, 10_000))).submit(10, callOf(0))
        bench.nowMillis = 12_000
        bench.send(Tick)
        assertEquals(1, bench.signals.count { it is DispatchCancelled })
        bench.nowMillis = 18_000
        bench.send(Tick).acknowledge()
        assertEquals(RunOutcome.MAY_HAVE_RUN, bench.refusal(10).outcome)
        assertEquals(listOf(ProgramGone(root, moved = false)), bench.signals.filterIsInstance<ProgramGone>())
    }

    /** Guards against ended programs that stay in memory, and against forgetting that their ids were used. */
    @Test
    fun `an ended program is forgotten after its retention time and never opened again`() {
        val bench = ProgramBench().open().submit(10, callOf(0)).finish(CallId(root, 0), answered("zero"))
        bench.send(ProgramEndRequested(2, root, "done")).acknowledge()
        bench.nowMillis += 600_100
        bench.send(Tick)
        assertNull(bench.state.programSummary(root))
        for (node in listOf(bench, ProgramBench().also { it.nowMillis = bench.nowMillis }.acquire(bench.journal.toList(), 2))) {
            node.send(ProgramOpenRequested(3, root, spec())).send(CallSubmitted(4, callOf(0)))
            assertEquals(RefusalReason.PROGRAM_ENDED, node.refusal(3).reason)
            val lookup = node.effects.filterIsInstance<AnswerFromHistory>().single()
            val stored = storedAnswer({ bench.journal }, lookup.call, lookup.bodySha256, lookup.recordCount)
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

    /** Guards against sending a call again that must not repeat, and against losing one that may. */
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
                Recovery("tool without", callOf(0, CallBody.ToolCall(pay, "x"), key = "k"), dispatched = false, unresolved = true),
                Recovery("model call with a key", callOf(0, key = "k"), dispatched = false, unresolved = true),
            )
        for (case in cases) {
            val journal = ProgramBench().open().submit(10, case.request).journal
            val bench = ProgramBench().acquire(journal.toList(), 2).acknowledge()
            val sent = bench.dispatched()
            assertEquals(case.dispatched, sent.isNotEmpty(), case.name)
            assertTrue(sent.all { it.recovered && it.resumeOnly == case.resumeOnly }, case.name)
            assertEquals(case.unresolved, bench.state.unresolvedCalls().isNotEmpty(), case.name)
            bench.submit(11, case.request)
            if (case.unresolved) assertEquals(RefusalReason.UNRESOLVED, bench.refusal(11).reason, case.name)
        }
    }

    /** Guards against giving up a call that still runs here because a journal node was replaced. */
    @Test
    fun `a call that dispatch still runs is awaited when the journal moves`() {
        val bench = ProgramBench().open().submit(10, callOf(0, CallBody.ToolCall(pay, "x"), key = "k"))
        val running = bench.dispatched().single()
        val entry = CallEntry(running, Target.Tool(pay), bench.nowMillis, 1, bench.nowMillis)
        bench.state = bench.state.copy(dispatch = DispatchState(DispatchCore(calls = persistentHashMapOf(running.call to entry))))
        bench.send(PartitionLost(root.partition, "journal node lost")).acquire(bench.journal.toList(), 2).acknowledge()
        assertEquals(listOf(false, true), bench.dispatched().map { it.resumeOnly })
        bench.submit(11, callOf(0, CallBody.ToolCall(pay, "x"), key = "k")).finish(running.call, answered("paid"))
        assertEquals("paid", (bench.answers(11).single() as CallResult.Answered).text)
    }

    /** Guards against a settlement that is not durable, exceeds the reservation or charges twice. */
    @Test
    fun `a call that may have run is charged whole until it is settled`() {
        val request = callOf(0, CallBody.ToolCall(pay, "x"), key = "k")
        val journal = ProgramBench().open().submit(10, request).journal
        val bench = ProgramBench().acquire(journal.toList(), 2).acknowledge()
        assertEquals(
            100,
            bench.state
                .programSummary(root)
                ?.usage
                ?.costMicros,
        )
        bench.send(SettleRequested(20, CallId(root, 0), RunOutcome.RUN, Usage(costMicros = 101), "ops"))
        assertEquals(RefusalReason.BAD_REQUEST, bench.refusal(20).reason)
        bench.send(SettleRequested(21, CallId(root, 0), RunOutcome.NOT_RUN, Usage(), "ops"))
        assertTrue(bench.answers(21).isEmpty())
        bench.acknowledge()
        assertEquals(RunOutcome.NOT_RUN, bench.refusal(21).outcome)
        val replayed = ProgramBench().acquire(bench.journal.toList(), 3)
        for (node in listOf(bench, replayed)) {
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

    /** Guards against deciding on a history with a hole or a changed record. */
    @Test
    fun `a damaged history is set aside and its program refused`() {
        val sound =
            ProgramBench()
                .open()
                .submit(10, callOf(0))
                .finish(CallId(root, 0), answered("zero"))
                .journal
        val damages =
            mapOf<String, (List<HistoryRecord>) -> List<HistoryRecord>>(
                "missing" to { it - it[1] },
                "changed" to { records -> records.map { if (it.sequence == 2) it.copy(atMillis = 7) else it } },
                "headless" to { it.drop(1) },
            )
        for ((name, damage) in damages) {
            val bench = ProgramBench().acquire(damage(sound.toList()), 2).submit(11, callOf(0))
            assertEquals(
                RefusalReason.HISTORY_UNAVAILABLE to RunOutcome.MAY_HAVE_RUN,
                bench.refusal(11).let { it.reason to it.outcome },
                name,
            )
        }
        val doubled = ProgramBench().acquire(sound.flatMap { listOf(it, it) }, 2).submit(11, callOf(0))
        assertEquals(1, doubled.answers(11).filterIsInstance<CallResult.Answered>().size)
    }
}
