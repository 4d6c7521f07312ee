package lavendertrail.load

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class LoadReportTest {
    /** Guards against times in the wrong unit, and against pieces wrongly counted as joined. */
    @Test
    fun `times are in milliseconds`() {
        val recorder = LoadRecorder()
        recorder.add(TimedAnswer(40_000_000, 90_000_000, listOf(20_000_000, 500_000), "text"))
        recorder.addRound(elapsed = 500_000_000, cpu = 3_000_000)
        val stats = recorder.stats()
        assertEquals(40.0, stats.first.p50Millis, 0.1)
        assertEquals(50.0, stats.joinedPercent)
        assertEquals(2.0, stats.requestsPerSecond)
        assertEquals(3.0, stats.cpuMillisPerCall)
    }

    /** Guards against a verdict that contradicts the measured values. */
    @Test
    fun `the Markdown report states whether the target is met`() {
        val times = LatencyStats(1, 40.0, 50.0, 60.0)
        val call = CallStats(times, times, times, 0.0, 1.0, 2.0)
        val report = LoadReport(200, 1, 3, 60, 34.0, call, call, times, times, 3.5, 3.5, 3.5, 1.1, 1.1, 0.0, 2.0, targetMet = false)
        assertContains(report.toMarkdown(), "not met (3.50 ms)")
    }
}
