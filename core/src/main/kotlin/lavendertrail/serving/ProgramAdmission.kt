package lavendertrail.serving

/**
 * Decides whether a program's first turn is admitted. A burst of new programs on engines that are already busy slows down all
 * running programs until they miss their deadlines, although the engines finish hardly more turns. Running programs are always
 * served; new ones are told to retry later, the less urgent ones first.
 */
internal typealias ProgramAdmission = (AdmissionInput) -> Boolean

/** [programHash] is uniform between 0 and 1 and fixed for a program, so that frequent retries don't get it admitted. */
internal data class AdmissionInput(
    val slowdown: Double,
    val isMostUrgent: Boolean,
    val programHash: Double,
)

/** Admits every program; the baseline for comparisons. */
internal val admitAll: ProgramAdmission = { true }

/** Refuses a share of first turns that grows linearly with the slowdown of the engines. */
internal val admitBySlowdown: ProgramAdmission = { input ->
    val start = if (input.isMostUrgent) URGENT_REFUSAL_START_SLOWDOWN else REFUSAL_START_SLOWDOWN
    val refusedShare = ((input.slowdown - start) / REFUSAL_RAMP_SLOWDOWN).coerceIn(0.0, MAX_REFUSED_SHARE)
    input.programHash >= refusedShare
}

// Program deadlines allow one and a half times to nearly twice the duration on idle engines.
private const val REFUSAL_START_SLOWDOWN = 1.35
private const val URGENT_REFUSAL_START_SLOWDOWN = 1.5
private const val REFUSAL_RAMP_SLOWDOWN = 0.5

/** Some programs are always admitted, so that the generation speed is still measured. */
private const val MAX_REFUSED_SHARE = 0.9
