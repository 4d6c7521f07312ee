package lavendertrail.gateway

import kotlin.math.abs

/**
 * Detects that the host was suspended. The monotonic clock may stand still meanwhile, so timers fire late without showing it; the
 * time of day goes on. A step of the time of day looks the same.
 */
internal class ClockCheck(
    private val monotonicMillis: () -> Long = ::nowMillis,
    private val epochMillis: () -> Long = System::currentTimeMillis,
) {
    private var offsetMillis = epochMillis() - monotonicMillis()

    /** Whether the clocks have moved apart by more than [TOLERANCE_MILLIS] since the last call. */
    fun hasPaused(): Boolean {
        val currentMillis = epochMillis() - monotonicMillis()
        val driftMillis = abs(currentMillis - offsetMillis)
        offsetMillis = currentMillis
        return driftMillis > TOLERANCE_MILLIS
    }

    private companion object {
        /** Above the corrections that time synchronization makes, and below the time for which permissions are valid. */
        const val TOLERANCE_MILLIS = 200L
    }
}
