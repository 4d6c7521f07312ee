package lavendertrail.gateway

/** The steps of a graceful shutdown, in milliseconds after its start. */
internal data class DrainSchedule(
    /** When no more connections are accepted. */
    val stopAcceptingMillis: Long,
    /** When idle connections are closed. Connections in use are closed after their next response. */
    val closeIdleMillis: Long,
    /** When all requests that are still in progress get their final answer. */
    val endRequestsMillis: Long,
    /** When the process ends, whether or not all answers have reached their callers. */
    val exitMillis: Long,
)

/** The schedule that ends before the process is killed after [graceMillis]. */
internal fun drainSchedule(graceMillis: Long): DrainSchedule {
    val marginMillis = minOf(MAX_MARGIN_MILLIS, graceMillis / MARGIN_DIVISOR)
    return DrainSchedule(
        stopAcceptingMillis = minOf(STOP_ACCEPTING_AFTER_MILLIS, graceMillis / 2),
        closeIdleMillis = minOf(CLOSE_IDLE_AFTER_MILLIS, graceMillis / 2),
        endRequestsMillis = graceMillis - marginMillis,
        exitMillis = graceMillis - marginMillis / 2,
    )
}

/** The platform checks readiness once per second and stops routing to a process after two failed checks. */
private const val STOP_ACCEPTING_AFTER_MILLIS = 3_500L

/** Idle connections are the last to be closed, since callers go on using them. */
private const val CLOSE_IDLE_AFTER_MILLIS = 4_000L

/** Time to write the last answers, and to end, before the process is killed. */
private const val MAX_MARGIN_MILLIS = 700L
private const val MARGIN_DIVISOR = 8
