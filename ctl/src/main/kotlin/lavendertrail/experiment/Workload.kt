package lavendertrail.experiment

import kotlin.random.Random

/** The programs of one run in the order of arrival, and the load that they offer to each model as a share of its capacity. */
internal data class Workload(
    val programs: List<ProgramPlan>,
    val windowMillis: Long,
    val offeredLoad: Map<String, Double>,
)

/** The kind of workload of an owner's callers. [planProgram] plans the program with the given number. */
internal class WorkloadShape(
    val name: String,
    val capacities: List<ModelCapacity>,
    val bursts: List<ClosedFloatingPointRange<Double>>,
    val burstShare: Double,
    val planProgram: (Random, Int) -> ProgramPlan,
)

/**
 * Adds programs until the model with the highest [OfferedLoad] has the share [load] of its capacity over [windowMillis]. A part
 * of the programs arrives in the bursts of the shape, the others evenly distributed. The same seed gives the same workload.
 */
internal fun workloadOf(
    shape: WorkloadShape,
    seed: Long,
    load: Double,
    windowMillis: Long,
): Workload {
    require(load > 0) { "load must be positive, was $load" }
    val random = Random(seed)
    val offeredLoad = OfferedLoad(shape.capacities, windowMillis)
    val programs = mutableListOf<ProgramPlan>()
    while (offeredLoad.maxLoad() < load) {
        val plan = shape.planProgram(random, programs.size)
        offeredLoad.add(plan)
        programs += plan.copy(arrivalMillis = randomArrivalMillis(shape, random, windowMillis))
    }
    val ordered = programs.sortedBy { it.arrivalMillis }.mapIndexed { index, plan -> plan.copy(number = index) }
    return Workload(ordered, windowMillis, offeredLoad.loadByModel())
}

private fun randomArrivalMillis(
    shape: WorkloadShape,
    random: Random,
    windowMillis: Long,
): Long {
    val inBurst = shape.bursts.isNotEmpty() && random.nextDouble() < shape.burstShare
    val position = random.nextDouble()
    if (!inBurst) return (position * windowMillis).toLong()
    val burst = shape.bursts[random.nextInt(shape.bursts.size)]
    return ((burst.start + position * (burst.endInclusive - burst.start)) * windowMillis).toLong()
}
