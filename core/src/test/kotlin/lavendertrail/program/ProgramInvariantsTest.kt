package lavendertrail.program

import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import kotlin.random.Random
import kotlin.test.fail

class ProgramPromisesTest {
    /** Schedules per try; `-Dlavendertrail.schedules=100000` runs that many in all. */
    private val schedulesPerTry = (Integer.getInteger("lavendertrail.schedules", TRIES) / TRIES).coerceAtLeast(1)

    /**
     * Guards against calls that run twice or out of order, spent budgets, lost turns and untrue refusals, under lost and
     * late acknowledgements, changes of the owner and owners that do not know of it.
     */
    @Property(
        tries = TRIES,
        seed = "20261204",
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF,
    )
    fun `every schedule keeps the promises`(
        @ForAll seed: Long,
    ) {
        val seeds = Random(seed)
        repeat(schedulesPerTry) {
            val scheduleSeed = seeds.nextLong()
            try {
                ProgramSchedule(scheduleSeed).run()
            } catch (broken: Throwable) {
                fail("schedule $scheduleSeed: ${broken.message}", broken)
            }
        }
    }

    private companion object {
        const val TRIES = 1_000
    }
}
