package lavendertrail.experiment

import kotlin.random.Random

/** Programs of one run, in the order of arrival, and the load they offer per model as a share of its capacity. */
internal data class Workload(
    val programs: List<ProgramPlan>,
    val windowMillis: Long,
    val offeredLoad: Map<String, Double>,
)

/** What programs an owner's callers run. [next] plans the program with the given number. */
internal class WorkloadShape(
    val name: String,
    val capacities: List<ModelCapacity>,
    val bursts: List<ClosedFloatingPointRange<Double>>,
    val burstShare: Double,
    val next: (Random, Int) -> ProgramPlan,
)

/**
 * Adds programs until the model with the highest load has [load] of its capacity over [windowMillis]; see
 * [offeredLoad]. A part of the programs arrives in the bursts of the shape, the others evenly. The same seed gives the
 * same workload.
 */
internal fun workloadOf(
    shape: WorkloadShape,
    seed: Long,
    load: Double,
    windowMillis: Long,
): Workload {
    require(load > 0) { "load must be positive, was $load" }
    val random = Random(seed)
    val demand = DemandSum(shape.capacities, windowMillis)
    val programs = mutableListOf<ProgramPlan>()
    while (demand.highest() < load) {
        val plan = shape.next(random, programs.size)
        demand.add(plan)
        programs += plan.copy(arrivalMillis = arrival(shape, random, windowMillis))
    }
    val ordered = programs.sortedBy { it.arrivalMillis }.mapIndexed { index, plan -> plan.copy(number = index) }
    return Workload(ordered, windowMillis, demand.loads())
}

private fun arrival(
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
