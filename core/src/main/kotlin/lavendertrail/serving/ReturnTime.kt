package lavendertrail.serving

/**
 * Decides when a caller that is turned away returns, in milliseconds from now. Answers callers that compete for too little room for
 * some seconds: if all return after the same short time they are turned away again, and whoever happens to come at the right moment
 * gets a place, however little it has invested.
 */
internal typealias ReturnPolicy = (ReturnInput) -> Long

internal data class ReturnInput(
    /** How long the caller still waits, and its whole program, which is null or negative where that says nothing. */
    val remainingMillis: Long,
    val programRemainingMillis: Long?,
    /** Until a place is expected to be free. */
    val roomMillis: Double,
    /** Time in which places are found for the running and for the new programs that were turned away here lately. */
    val runningBacklogMillis: Double,
    val newBacklogMillis: Double,
    val isRunning: Boolean,
    /** Between 0 and 1; of two running or two new programs, the lower one returns first. */
    val position: Double,
)

/**
 * Running programs return first, from the time on at which a place is expected to be free, then the new ones. They are spread over the
 * time in which as many places become free here, so that the callers of all entry hosts together return as places become free. Nobody
 * is told more than a third of its time, since callers don't wait longer.
 */
internal val returnInOrder: ReturnPolicy = { input ->
    val programMillis = input.programRemainingMillis?.takeIf { it > 0 } ?: input.remainingMillis
    val latestMillis = minOf(input.remainingMillis, programMillis).coerceAtLeast(0) / HONOURED_DIVISOR
    val startMillis = minOf(input.roomMillis, latestMillis * MAX_START_SHARE)
    val backlogMillis = input.runningBacklogMillis + input.newBacklogMillis
    val spreadMillis = minOf(backlogMillis, latestMillis - startMillis)
    val runningShare = if (backlogMillis > 0) input.runningBacklogMillis / backlogMillis else 1.0
    val share = if (input.isRunning) input.position * runningShare else runningShare + input.position * (1 - runningShare)
    (startMillis + share * spreadMillis).toLong()
}

/** Callers honour a third of the time that they have left. */
private const val HONOURED_DIVISOR = 3.0

/** The rest remains to spread callers whose room comes later than they wait. */
private const val MAX_START_SHARE = 0.5
