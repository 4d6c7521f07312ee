package lavendertrail.dispatch

import kotlin.test.Test
import kotlin.test.assertTrue

class MeasureDecisionsTest {
    /**
     * Guards against a decision that iterates over all programs. Its time would grow 20-fold here, while that of a decision
     * in O(log n) grows less than 2-fold. The bound of 6 leaves room for CPU caches and a busy machine.
     */
    @Test
    fun `a decision grows no faster than the logarithm of the number of programs`() {
        val timings = measureDecisions(listOf(DecisionSize(600, 300), DecisionSize(600, 6_000)), System::nanoTime)
        println("dispatch: $timings")
        assertTrue(timings[1].medianNanos < 6 * timings[0].medianNanos, "$timings")
    }
}
