package lavendertrail.program

import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import kotlin.random.Random
import kotlin.test.fail

class ProgramInvariantsTest {
    /** Schedules per try; `-Dlavendertrail.schedules=100000` sets their total number. */
    private val schedulesPerTry = (Integer.getInteger("lavendertrail.schedules", TRIES) / TRIES).coerceAtLeast(1)

    /**
     * Guards against calls that run twice or out of order, exceeded budgets, lost turns and refusals with a wrong outcome, under
     * lost and late acknowledgements, changes of the owner and former owners that do not know that they were replaced.
     */
    @Property(
        tries = TRIES,
        seed = "20261204",
        edgeCases = EdgeCasesMode.NONE,
        shrinking = ShrinkingMode.OFF,
    )
    fun `every schedule preserves the invariants`(
        @ForAll seed: Long,
    ) {
        val seeds = Random(seed)
        repeat(schedulesPerTry) {
            val scheduleSeed = seeds.nextLong()
            try {
                ProgramSchedule(scheduleSeed).run()
            } catch (failure: Throwable) {
                fail("schedule $scheduleSeed: ${failure.message}", failure)
            }
        }
    }

    private companion object {
        const val TRIES = 1_000
    }
}
