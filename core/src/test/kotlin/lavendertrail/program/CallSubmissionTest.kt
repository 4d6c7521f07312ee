package lavendertrail.program

import lavendertrail.model.AccountId
import lavendertrail.model.Budget
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ToolId
import lavendertrail.reducer.AnswerFromHistory
import lavendertrail.reducer.AttachStream
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.CallerGone
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.PartitionDrained
import lavendertrail.reducer.PartitionDraining
import lavendertrail.reducer.PartitionLost
import lavendertrail.reducer.ProgramEndRequested
import lavendertrail.reducer.Tick
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CallSubmissionTest {
    private class Case(
        val name: String,
        val reason: RefusalReason,
        val outcome: RunOutcome = RunOutcome.NOT_RUN,
        val request: CallRequest = callOf(1),
        val requestId: Long = 99,
        val arrange: ProgramHarness.() -> Unit = {},
        val after: ProgramHarness.() -> Unit = {},
    )

    private fun ProgramHarness.submitPayment(
        position: Int,
        key: String = "k",
        requestId: Long = 50L + position,
    ) = submit(requestId, payment(position, key))

    private fun payment(
        position: Int,
        key: String = "k",
        amount: String = "5",
        program: ProgramId = root,
    ) = callOf(position, CallBody.ToolCall(pay, amount), program, key)

    private val cases =
        listOf(
            Case("unknown program", RefusalReason.UNKNOWN_PROGRAM, request = callOf(0, program = ProgramId("batinah-02a-ffff"))),
            Case("other partition", RefusalReason.NOT_OWNER, request = callOf(0, program = ProgramId("batinah-02b-ffff"))),
            Case("other account", RefusalReason.NOT_ALLOWED, request = callOf(0).copy(account = AccountId("stranger"))),
            Case("past deadline", RefusalReason.DEADLINE, request = callOf(1, deadlineMillis = 500)),
            Case("running position, other body", RefusalReason.POSITION_TAKEN, request = callOf(0, ask("other"))),
            Case("finished position, other body", RefusalReason.POSITION_TAKEN, request = callOf(0, ask("other")), arrange = {
                finish(CallId(root, 0), answered("zero"))
            }),
            Case("waiting position, other body", RefusalReason.POSITION_TAKEN, request = callOf(1, ask("other")), arrange = {
                submit(2, callOf(1))
            }),
            Case(
                "full buffer",
                RefusalReason.POSITION_GAP,
                request = callOf(9),
                arrange = { (5L..6L).forEach { submit(it, callOf(it.toInt())) } },
            ),
            Case("gap for too long", RefusalReason.POSITION_GAP, request = callOf(3), after = {
                nowMillis += 31_000
                send(Tick)
            }),
            Case("key with another body", RefusalReason.KEY_REUSED, request = payment(2, amount = "6"), arrange = {
                finish(CallId(root, 0), answered("zero"))
                submitPayment(1)
            }),
            Case("gap for too long, key started", RefusalReason.POSITION_GAP, RunOutcome.MAY_HAVE_RUN, payment(3), arrange = {
                finish(CallId(root, 0), answered("zero"))
                submitPayment(1)
            }, after = {
                nowMillis += 31_000
                send(Tick)
            }),
            Case("ended program", RefusalReason.PROGRAM_ENDED, arrange = { send(ProgramEndRequested(3, root, "done")) }),
            Case("draining partition", RefusalReason.NOT_OWNER, arrange = { send(PartitionDraining(root.partition)) }),
            Case("failing journal", RefusalReason.HISTORY_UNAVAILABLE, arrange = {
                send(CallSubmitted(7, callOf(0)))
                finishWithoutAcknowledgement()
            }),
            Case(
                "unknown model",
                RefusalReason.NO_SERVER,
                request =
                    callOf(
                        1,
                        CallBody.ModelCall(ModelId("none"), listOf(), 1),
                    ),
                arrange = {
                    finish(CallId(root, 0), answered("zero"))
                },
            ),
            Case("unknown tool", RefusalReason.NO_SERVER, request = callOf(1, CallBody.ToolCall(ToolId("none"), "")), arrange = {
                finish(CallId(root, 0), answered("zero"))
            }),
            Case("no key", RefusalReason.BAD_REQUEST, request = callOf(1, CallBody.ToolCall(pay, "5")), arrange = {
                finish(CallId(root, 0), answered("zero"))
            }),
            Case("lost while waiting", RefusalReason.NOT_OWNER, after = { send(PartitionLost(root.partition, "test")) }),
            Case("lost while running", RefusalReason.NOT_OWNER, RunOutcome.MAY_HAVE_RUN, callOf(0), after = {
                send(PartitionLost(root.partition, "test"))
            }),
        )

    private fun ProgramHarness.finishWithoutAcknowledgement() {
        send(DispatchFinished(CallId(root, 0), answered("zero"), 1))
        send(HistoryAppendFailed(root.partition, 1, state.programs.nextAppendId - 1, fenced = false, "copy is slow"))
    }

    /** Guards against refusals with a wrong reason, and against "not run" for a call that may still run. */
    @Test
    fun `each refusal has its reason and a correct outcome`() {
        for (case in cases) {
            val harness = ProgramHarness(ProgramSettings(maxWaitingCalls = 2)).open().submit(10, callOf(0))
            case.arrange(harness)
            harness.send(CallSubmitted(case.requestId, case.request))
            case.after(harness)
            val refusal = harness.refusal(case.requestId)
            assertEquals(case.reason to case.outcome, refusal.reason to refusal.outcome, "${case.name}: $refusal")
            assertTrue(refusal.step.isNotEmpty() && refusal.peer == "sohar-1", case.name)
        }
    }

    /** Guards against "not run" for a call whose start is on one journal copy only, where the next owner finds it and sends the call. */
    @Test
    fun `a call whose start is not acknowledged may have run`() {
        val harness = ProgramHarness().open().send(CallSubmitted(10, callOf(0)))
        harness.send(HistoryAppendFailed(root.partition, 1, 2, fenced = false, "copy is slow"))
        assertTrue(harness.answers(10).isEmpty())
        harness.send(HistoryAppendFailed(root.partition, 1, 2, fenced = true, "sealed"))
        assertEquals(RunOutcome.MAY_HAVE_RUN, harness.refusal(10).outcome)
        assertTrue(harness.dispatched().isEmpty())
    }

    /** Guards against duplicate requests that run the call again or get a different answer. */
    @Test
    fun `duplicates join the running call and get its outcome`() {
        val harness =
            ProgramHarness()
                .open()
                .submit(10, callOf(0))
                .submit(11, callOf(0))
                .submit(12, callOf(0))
        assertEquals(listOf(11L, 12L), harness.effects.filterIsInstance<AttachStream>().map { it.requestId })
        harness.send(CallerGone(11)).finish(CallId(root, 0), answered("zero"))
        harness.submit(13, callOf(0))
        assertEquals(listOf(1, 0, 1, 1), listOf(10L, 11, 12, 13).map { harness.answers(it).size })
        assertEquals(1, harness.dispatched().size)
    }

    /** Guards against a second execution under the same idempotency key, at another position or after replay. */
    @Test
    fun `a key gets its first outcome at every position`() {
        val harness = ProgramHarness().open().submit(10, payment(0))
        harness.finish(CallId(root, 0), answered("paid"))
        harness.submit(11, payment(1)).submit(12, callOf(2))
        assertEquals(listOf(0, 2), harness.dispatched().map { it.call.position })
        assertEquals("paid", (harness.answers(11).single() as CallResult.Answered).text)
        val replayed = ProgramHarness().acquire(harness.journal.toList(), 2).submit(20, payment(1))
        assertEquals("paid", (replayed.answers(20).single() as CallResult.Answered).text)
    }

    /** Guards against a position that stays taken although nothing ran, and against a late duplicate that runs before the retry delay. */
    @Test
    fun `a position can be used again after a refusal that allows a retry`() {
        val busy = CallResult.Refused(Refusal(RunOutcome.NOT_RUN, RefusalReason.OVERLOADED, "busy", 100, "dispatch"))
        val harness = ProgramHarness().open().submit(10, payment(0)).finish(CallId(root, 0), busy)
        harness.submit(11, payment(0))
        assertEquals(RefusalReason.OVERLOADED, harness.refusal(11).reason)
        harness.nowMillis += 100
        harness.submit(12, payment(0)).finish(CallId(root, 0), answered("paid"))
        assertEquals("paid", (harness.answers(12).single() as CallResult.Answered).text)
    }

    private class BudgetCase(
        val name: String,
        val budget: Budget,
        val reason: RefusalReason,
    )

    /** Guards against a budget limit that is not enforced. */
    @Test
    fun `each limit of a budget refuses the call that exceeds it`() {
        val cases =
            listOf(
                BudgetCase("tokens", Budget(70, 1_000_000, 50, 60_000), RefusalReason.BUDGET_EXCEEDED),
                BudgetCase("cost", Budget(100_000, 55, 50, 60_000), RefusalReason.BUDGET_EXCEEDED),
                BudgetCase("turns", Budget(100_000, 1_000_000, 1, 60_000), RefusalReason.TURN_LIMIT),
            )
        for (case in cases) {
            val harness = ProgramHarness().open(spec(case.budget)).submit(10, callOf(0)).finish(CallId(root, 0), answered("zero"))
            assertTrue(harness.answers(10).single() is CallResult.Answered, case.name)
            harness.submit(11, callOf(1))
            assertEquals(case.reason, harness.refusal(11).reason, case.name)
            assertEquals(RunOutcome.NOT_RUN, harness.refusal(11).outcome, case.name)
        }
    }

    /** Guards against unbounded texts in memory, and against prompts and answers without the texts that were evicted. */
    @Test
    fun `old texts are read from the history`() {
        val harness = ProgramHarness(ProgramSettings(maxRecentCalls = 2)).open()
        for (position in 0..5) {
            harness.submit(10L + position, callOf(position)).finish(CallId(root, position), answered("answer $position"))
        }
        harness.submit(20, callOf(6)).submit(21, callOf(0))
        val texts = HistoryReader { harness.journal }
        val prompt = harness.state.promptMessages(CallId(root, 6), texts)
        assertEquals((0..5).flatMap { listOf("question $it", "answer $it") } + "question 6", prompt.map(Message::content))
        assertEquals(promptChain(prompt), harness.dispatched().last().promptChain)
        assertEquals(2, harness.state.callSummaries(root).size - 1)
        val lookup = harness.effects.filterIsInstance<AnswerFromHistory>().single { it.requestId == 21L }
        assertEquals("answer 0", (storedAnswer(texts, lookup.call, lookup.bodySha256, lookup.recordCount) as CallResult.Answered).text)
    }

    /** Guards against the handover of a partition while a call still runs. */
    @Test
    fun `a partition is drained once its running calls have outcomes`() {
        val harness = ProgramHarness().open().submit(10, callOf(0)).send(PartitionDraining(root.partition))
        assertTrue(harness.signals.none { it is PartitionDrained })
        harness.finish(CallId(root, 0), answered("zero"))
        assertEquals(1, harness.signals.count { it is PartitionDrained })
    }
}
