package lavendertrail.experiment

import kotlin.test.Test
import kotlin.test.assertEquals

class ExperimentReportTest {
    /** Guards against off-by-one errors in percentiles, and against ratios to the wrong baseline. */
    @Test
    fun `the table names the best baseline of each measure`() {
        val rows =
            listOf(
                rowOf(OWN_POLICY, listOf(run((1L..100L).map { it * 100 }, wasted = 10))),
                rowOf("stickyFifo", listOf(run((1L..100L).map { it * 400 }, wasted = 20))),
                rowOf("leastLoadFifo", listOf(run((1L..100L).map { it * 200 }, wasted = 400))),
            )
        val report = ExperimentReport("barakah", 1, 0.85, 5.0, 30.0, mapOf("m" to 0.85), rows)
        val expected =
            """
            Preset barakah, 1 seeds, arrivals over 30.00 s of model time per seed, time scale 5.00.
            Offered load (mean over seeds, perfect cache): m 0.85.

            | policy | programs | p50 s | p95 s | p99 s | wasted cache % | cached % | refusals | failed | fairness |
            |---|---|---|---|---|---|---|---|---|---|
            | programAware | 100 | 5.00 | 9.50 | 9.90 | 1.00 | 50.00 | 2 | 1 | 1.00 |
            | stickyFifo | 100 | 20.00 | 38.00 | 39.60 | 2.00 | 50.00 | 2 | 1 | 1.00 |
            | leastLoadFifo | 100 | 10.00 | 19.00 | 19.80 | 40.00 | 50.00 | 2 | 1 | 1.00 |

            programAware against the best baseline: p95 0.50 of leastLoadFifo (target 0.50),
            wasted cache 0.50 of stickyFifo (target 0.25).

            """.trimIndent()
        assertEquals(expected, report.toMarkdown())
    }

    private fun run(
        latencies: List<Long>,
        wasted: Long,
    ): RunStats =
        RunStats(latencies, mapOf("a" to latencies, "b" to latencies), failedPrograms = 1, refusals = 2, CacheStats(1_000, 500, wasted))
}
