package lavendertrail.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against a burst of new programs that makes running programs miss their deadlines. Simulates engines that slow down
 * with their load.
 */
class ProgramAdmissionTest {
    /**
     * Number of programs of [TURNS] turns that end in time on engines whose time per step grows with the number of running
     * programs.
     */
    private fun programsInTime(admission: ProgramAdmission): Int {
        val random = Random(7)
        val running = mutableListOf<Double>()
        val startedAt = mutableListOf<Int>()
        var pace = StreamPace()
        var inTime = 0
        repeat(STEPS) { step ->
            val slowdown = maxOf(1.0, running.size / KNEE_PROGRAMS)
            repeat(4) { pace = pace.observe(IDLE_GAP_MILLIS * slowdown) }
            val arrivals = if (step in BURST) 6 else 2
            repeat(arrivals) {
                if (admission(AdmissionInput(pace.slowdown, isMostUrgent = false, programHash = random.nextDouble()))) {
                    running += TURNS
                    startedAt += step
                }
            }
            val done =
                running.indices.filter { index ->
                    running[index] -= 1 / slowdown
                    running[index] <= 0
                }
            for (index in done.reversed()) {
                if (step - startedAt[index] <= TURNS * ALLOWED_SLOWDOWN) inTime++
                running.removeAt(index)
                startedAt.removeAt(index)
            }
        }
        return inTime
    }

    @Test
    fun `more programs end in time during a burst than if all are admitted`() {
        val baseline = programsInTime(admitAll)
        val limited = programsInTime(admitBySlowdown)
        assertTrue(limited > baseline * 1.2, "in time: $limited, with all admitted: $baseline")
    }

    @Test
    fun `nothing is refused on engines with free capacity, and urgent programs are refused last`() {
        val hashes = (0..99).map { it / 100.0 }
        val admitted = { slowdown: Double, urgent: Boolean -> hashes.count { admitBySlowdown(AdmissionInput(slowdown, urgent, it)) } }
        assertEquals(100, admitted(1.3, false))
        assertTrue(admitted(1.7, true) > admitted(1.7, false))
        assertTrue(admitted(5.0, true) > 0)
    }

    private companion object {
        const val STEPS = 400
        val BURST = 100..200
        const val TURNS = 20.0
        const val KNEE_PROGRAMS = 45.0
        const val IDLE_GAP_MILLIS = 24.0

        /** Slowdown against idle engines at which a program still ends in time. */
        const val ALLOWED_SLOWDOWN = 1.7
    }
}
