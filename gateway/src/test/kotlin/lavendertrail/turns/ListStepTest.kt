package lavendertrail.turns

import lavendertrail.model.FailureDomain
import lavendertrail.serving.TurnHost
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against changes of the list of turn hosts that lose a record, and against lists that can't be changed any more: a table of
 * the allowed changes, and a model that tries them in random orders with losses, silent members and callers of old lists.
 */
class ListStepTest {
    private fun step(
        size: Int,
        tolerance: Int,
        lost: Int,
        isAfterRemoval: Boolean = false,
    ): ListStep {
        val names = (1..size).map { "h$it" }
        val hosts = names.map { TurnHost(it, it, FailureDomain("a")) }
        val states = names.drop(lost).associateWith { ListStateReply(REVISION, REVISION, 1) }
        val departed = if (isAfterRemoval) listOf(DepartedHost("gone", REVISION - 1, names, 0)) else emptyList()
        return ListStep(TurnHosts(hosts, tolerance, REVISION), states, names.drop(lost).toSet(), departed)
    }

    @Test
    fun `a replacement may join whatever number of tolerated losses the list has`() {
        for (tolerance in 0..3) {
            for (size in tolerance + 1..12) {
                for (lost in 0..tolerance) assertTrue(step(size, tolerance, lost).allows(ListChange.JOIN), "$size hosts, $lost lost")
            }
        }
    }

    @Test
    fun `a replacement may join after a removal that left the members of a full list`() {
        for (tolerance in 0..3) {
            for (size in 2 * tolerance + 1..12) {
                for (lost in 0..tolerance) assertTrue(step(size, tolerance, lost, isAfterRemoval = true).allows(ListChange.JOIN))
            }
        }
    }

    @Test
    fun `a retirement leaves as many hosts as a record has copies`() {
        for (tolerance in 0..3) {
            assertEquals(false, step(tolerance + 1, tolerance, lost = 0).allows(ListChange.RETIREMENT), "tolerance $tolerance")
            assertEquals(true, step(tolerance + 2, tolerance, lost = 0).allows(ListChange.RETIREMENT), "tolerance $tolerance")
        }
    }

    @Test
    fun `no order of changes and losses hides a budget use or ends with a list that can't be changed`() {
        for (seed in 1..MODEL_SEEDS) ListModel(Random(seed), tolerance = 1 + seed % 2).run()
    }

    @Test
    fun `the model finds a change that is written although too few members have settled the list`() {
        val failures =
            (1..MODEL_SEEDS).count { seed ->
                runCatching { ListModel(Random(seed), tolerance = 1 + seed % 2, isCareless = true).run() }.isFailure
            }
        assertTrue(failures > 0, "no order of $MODEL_SEEDS showed the planted fault")
    }

    private companion object {
        const val REVISION = 10L
        const val MODEL_SEEDS = 2_000
    }
}
