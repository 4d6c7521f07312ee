package lavendertrail.program

import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.reducer.AnswerEnded
import lavendertrail.reducer.AnswerOpened
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.ProgramEndRequested
import lavendertrail.reducer.ProgramOpenRequested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CallOrderingTest {
    /** Guards against a call that starts before the previous call has an outcome. */
    @Test
    fun `calls run in order and the program ends`() {
        val harness = ProgramHarness().open()
        assertEquals(listOf(AnswerOpened(1, root)), harness.effects.filterIsInstance<AnswerOpened>())
        harness.submit(11, callOf(1)).submit(10, callOf(0))
        assertEquals(listOf(0), harness.dispatched().map { it.call.position })
        harness.finish(CallId(root, 0), answered("zero"))
        assertEquals(listOf(0, 1), harness.dispatched().map { it.call.position })
        harness.finish(CallId(root, 1), answered("one"))
        assertEquals("zero", (harness.answers(10).single() as CallResult.Answered).text)
        harness.send(ProgramEndRequested(12, root, "done")).acknowledge()
        assertEquals(
            50,
            harness.effects
                .filterIsInstance<AnswerEnded>()
                .single()
                .total.totalTokens,
        )
    }

    /** Guards against answers and dispatches based on records that are not durable yet and can be lost in a crash. */
    @Test
    fun `nothing is dispatched or answered before the journal acknowledges it`() {
        val harness = ProgramHarness().acquire()
        harness.send(ProgramOpenRequested(1, root, spec()))
        assertTrue(harness.effects.none { it is AnswerOpened })
        harness.acknowledge().send(CallSubmitted(10, callOf(0)))
        assertTrue(harness.dispatched().isEmpty())
        harness.acknowledge().send(DispatchFinished(CallId(root, 0), answered("zero"), 1))
        assertTrue(harness.answers(10).isEmpty())
        harness.acknowledge()
        assertEquals(1, harness.answers(10).size)
    }
}
