package lavendertrail.standins

import com.github.michaelbull.result.getOrElse
import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests the step durations of continuous batching without a clock. */
class EngineSpeedTest {
    private val settings = EngineSettings(ServerId("e"), listOf(TEST_MODEL), maxRunningCalls = 4)

    private class RecordingListener(
        private val prompts: Map<EngineCall, Int>,
    ) : StepListener {
        val ended = mutableListOf<EngineCall>()

        override fun onAdmitted(call: EngineCall): Boolean {
            call.prefillTokensLeft = prompts.getValue(call).toDouble()
            return true
        }

        override fun onPrefillComplete(call: EngineCall) = Unit

        override fun onAnswerComplete(call: EngineCall) {
            ended.add(call)
            call.finish(EngineOutcome.Failed(lavendertrail.reducer.AttemptFailure.ERROR, "done"))
        }
    }

    /** Simulated milliseconds until each call has its [answerTokens]. The calls have [prompts] tokens and all arrive at 0. */
    private fun endTimes(
        prompts: List<Int>,
        answerTokens: Int,
    ): List<Double> {
        val calls =
            prompts.mapIndexed { index, _ ->
                val request = testRequest(TEST_MODEL, "x").copy(call = CallId(TEST_CALL.program, index))
                EngineCall(request, index.toLong(), EnginePrompt.of(request, "[poison]"), answerTokens, AnswerText("h", 1))
            }
        val listener = RecordingListener(calls.zip(prompts).toMap())
        val loop = StepLoop(settings, listener) { _, _ -> true }
        loop.waiting.addAll(calls)
        val times = mutableMapOf<EngineCall, Double>()
        var now = 0.0
        while (true) {
            now += loop.planStep(1.0) ?: return calls.map { times.getValue(it) }
            loop.applyStep()
            listener.ended.forEach { times.putIfAbsent(it, now) }
        }
    }

    /** Guards against speeds that differ from the settings, on which all placement estimates depend. */
    @Test
    fun `prefill and decode take the times given by the settings`() {
        assertEquals(1_000.0 + 99 * 20.0, endTimes(listOf(8_000), 100).single(), 1e-6)
        val full = endTimes(List(4) { 80 }, 101)
        val step = 20.0 * (1 + 0.015 * 3)
        full.forEach { assertEquals(100 * step, it, 3 * step) }
    }

    /** Guards against a batch that exceeds its limit, and against a prefill rate that is applied per call. */
    @Test
    fun `prompts share the prefill rate and further calls wait`() {
        val (first, second) = endTimes(listOf(8_000, 8_000), 1)
        assertEquals(1_000.0, first, 60.0)
        assertEquals(2_000.0, second, 60.0)
        val waiting = endTimes(List(5) { 8 }, 51)
        assertTrue(waiting[4] >= 2 * 50 * 20.0, "the fifth call of four slots ended at ${waiting[4]}")
    }

    /** Guards against a stand-in that can't serve 200 streams, the number of the latency requirement, in real time. */
    @Test
    fun `200 concurrent streams run at the speed given by the settings`() {
        val fast = settings.copy(maxRunningCalls = 200, decodeSlowdownPerCall = 0.0, prefillTokensPerSecond = 1e9)
        EngineStandin(fast).use { standin ->
            serveEngine(standin).use { server ->
                val engine = lavendertrail.adapters.httpModelEngine(ServerId("e"), server.address)
                val start = System.nanoTime()
                val threads =
                    (0 until 200).map { index ->
                        val call = CallId(ProgramId("batinah-001-p$index"), 0)
                        thread {
                            val request = testRequest(TEST_MODEL, "x [answer-tokens=100]").copy(call = call)
                            assertEquals(100, engine.generate(request) {}.getOrElse { error(it) }.generatedTokens)
                        }
                    }
                threads.forEach { it.join() }
                val millis = (System.nanoTime() - start) / 1_000_000
                assertEquals(200, standin.totals.calls)
                assertTrue(millis in 1_900..6_000, "100 tokens at 50 tokens/s took $millis ms")
            }
        }
    }
}
