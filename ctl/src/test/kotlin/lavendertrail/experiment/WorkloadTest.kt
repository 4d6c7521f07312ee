package lavendertrail.experiment

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class WorkloadTest {
    private val shapes = experimentPresets.values.map { it.shape(it.platform(1, 5.0)) }

    /** Guards against comparing policies on different workloads. */
    @Test
    fun `the same seed gives the same workload and another seed another one`() {
        shapes.forEach { shape ->
            val workload = workloadOf(shape, seed = 3, load = 0.5, windowMillis = 5_000)
            assertEquals(workload, workloadOf(shape, seed = 3, load = 0.5, windowMillis = 5_000))
            assertNotEquals(workload, workloadOf(shape, seed = 4, load = 0.5, windowMillis = 5_000))
        }
    }

    /** Guards against an offered load above or below the requested one by more than one program. */
    @Test
    fun `the model with the highest load has the requested load`() {
        shapes.forEach { shape ->
            val loads = workloadOf(shape, seed = 1, load = 0.85, windowMillis = 60_000).offeredLoad.values
            assertTrue(loads.max() in 0.85..0.87, "${shape.name}: $loads")
        }
    }

    /** Guards against counting a shared text once per program. */
    @Test
    fun `a shared text counts once per model`() {
        val agent = AgentPlan("helper", "m", "s".repeat(400), listOf(PlanStep.Chat("u".repeat(80), 10)))
        val offeredLoad = OfferedLoad(listOf(ModelCapacity("m", prefillTokensPerSecond = 100.0, decodeTokensPerSecond = 100.0)), 1_000)
        repeat(2) { offeredLoad.add(ProgramPlan(it, 0, "a", "t", agent)) }
        assertEquals(mapOf("m" to (104 + 24 + 24) / 100.0), offeredLoad.loadByModel())
    }
}
