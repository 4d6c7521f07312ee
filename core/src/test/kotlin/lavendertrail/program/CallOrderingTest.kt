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
    /** Guards against calls that start before the one before them has an outcome. */
    @Test
    fun `calls run in order and the program ends`() {
        val bench = ProgramBench().open()
        assertEquals(listOf(AnswerOpened(1, root)), bench.effects.filterIsInstance<AnswerOpened>())
        bench.submit(11, callOf(1)).submit(10, callOf(0))
        assertEquals(listOf(0), bench.dispatched().map { it.call.position })
        bench.finish(CallId(root, 0), answered("zero"))
        assertEquals(listOf(0, 1), bench.dispatched().map { it.call.position })
        bench.finish(CallId(root, 1), answered("one"))
        assertEquals("zero", (bench.answers(10).single() as CallResult.Answered).text)
        bench.send(ProgramEndRequested(12, root, "done")).acknowledge()
        assertEquals(
            50,
            bench.effects
                .filterIsInstance<AnswerEnded>()
                .single()
                .total.totalTokens,
        )
    }

    /** Guards against answers and dispatches that rest on records which a crash can still lose. */
    @Test
    fun `nothing is dispatched or answered before the journal acknowledges it`() {
        val bench = ProgramBench().acquire()
        bench.send(ProgramOpenRequested(1, root, spec()))
        assertTrue(bench.effects.none { it is AnswerOpened })
        bench.acknowledge().send(CallSubmitted(10, callOf(0)))
        assertTrue(bench.dispatched().isEmpty())
        bench.acknowledge().send(DispatchFinished(CallId(root, 0), answered("zero"), 1))
        assertTrue(bench.answers(10).isEmpty())
        bench.acknowledge()
        assertEquals(1, bench.answers(10).size)
    }
}
