package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against new programs that are admitted while turns wait longer than programs can bear. Engines that state limits, or have
 * long queues, generate at full speed, so the time between events doesn't show the wait.
 */
class TurnPaceTest {
    private fun TurnPace.observe(
        answers: Int,
        startMillis: Double,
    ) = (1..answers).fold(this) { pace, _ -> pace.observe(GAP_MILLIS, startMillis, GENERATION_MILLIS) }

    @Test
    fun `waits of turns count as slowdown although events follow each other at full speed`() {
        val idle = TurnPace().observe(40, startMillis = 100.0)
        assertEquals(1.0, idle.slowdown, absoluteTolerance = 0.02)
        val waiting = idle.observe(60, startMillis = 500.0)
        assertEquals(1.0, waiting.gaps.slowdown, absoluteTolerance = 0.02)
        assertTrue(waiting.slowdown > 2.0, "slowdown ${waiting.slowdown}")
        val recovered = waiting.observe(60, startMillis = 100.0)
        assertTrue(recovered.slowdown < 1.1, "slowdown ${recovered.slowdown}")
    }

    /**
     * Load pattern: engines accept 40 turns a second where programs offer 55, each turn waits for its turn in the queue, and programs
     * of six turns have time for 1.8 times their duration on idle engines.
     */
    @Test
    fun `more programs end in time on limited engines if waits count`() {
        val measured = programsInTime { it.slowdown }
        val withoutWaits = programsInTime { it.gaps.slowdown }
        assertTrue(measured > 2 * withoutWaits, "in time: $measured with waits, $withoutWaits without")
    }

    private class Program(
        val startedAtMillis: Double,
        var turnsLeft: Int,
        var readyAtMillis: Double,
    )

    private fun programsInTime(slowdownOf: (TurnPace) -> Double): Int {
        var pace = TurnPace().observe(40, IDLE_START_MILLIS)
        val waiting = mutableListOf<Program>()
        var inTime = 0
        var nextFreeMillis = 0.0
        var programs = 0
        var nowMillis = 0.0
        while (nowMillis < DAY_MILLIS) {
            if (programs < nowMillis / PROGRAM_GAP_MILLIS) {
                programs++
                // The golden ratio spreads the hashes of consecutive programs evenly.
                val hash = programs * 0.618 % 1.0
                if (admitBySlowdown(AdmissionInput(slowdownOf(pace), false, hash))) waiting += Program(nowMillis, TURNS, nowMillis)
            }
            val next = waiting.filter { it.readyAtMillis <= nowMillis }.minByOrNull { it.readyAtMillis }
            if (next != null && nextFreeMillis <= nowMillis) {
                nextFreeMillis = nowMillis + ENGINE_GAP_MILLIS
                pace = pace.observe(GAP_MILLIS, nowMillis - next.readyAtMillis + IDLE_START_MILLIS, GENERATION_MILLIS)
                next.readyAtMillis = nowMillis + IDLE_START_MILLIS + GENERATION_MILLIS
                if (--next.turnsLeft == 0) {
                    waiting -= next
                    val idleMillis = TURNS * (IDLE_START_MILLIS + GENERATION_MILLIS)
                    if (next.readyAtMillis - next.startedAtMillis <= ALLOWED_SLOWDOWN * idleMillis) inTime++
                }
            }
            nowMillis += 1
        }
        return inTime
    }

    private companion object {
        const val GAP_MILLIS = 25.0
        const val GENERATION_MILLIS = 200.0
        const val IDLE_START_MILLIS = 100.0
        const val TURNS = 6
        const val ALLOWED_SLOWDOWN = 1.8
        const val DAY_MILLIS = 30_000.0
        const val PROGRAM_GAP_MILLIS = 1_000.0 * TURNS / 55
        const val ENGINE_GAP_MILLIS = 1_000.0 / 40
    }
}
