package lavendertrail.gateway

/**
 * Estimates when requests have arrived that an event loop reads after it has stood still, for example while it loaded classes or got
 * no processor time. They have waited in the system's buffers, which don't show since when. The loop ticks every [tickMillis].
 */
internal class LoopStall(
    private val tickMillis: Long,
    private val nowMillis: () -> Long = ::nowMillis,
) {
    private var lastTickMillis = nowMillis()

    /** Since when the loop had stood still at the last tick; null if that tick was in time. */
    private var stalledSinceMillis: Long? = null

    fun recordTick() {
        val now = nowMillis()
        stalledSinceMillis = lastTickMillis.takeIf { isStalled(now) }
        lastTickMillis = now
    }

    /** The earliest time at which a request may have arrived that is read now. */
    fun earliestArrivalMillis(): Long {
        val now = nowMillis()
        val since = if (isStalled(now)) lastTickMillis else stalledSinceMillis ?: return now
        return maxOf(since + tickMillis, now - MAX_WAIT_MILLIS)
    }

    private fun isStalled(now: Long) = now - lastTickMillis > tickMillis + MIN_STALL_MILLIS

    private companion object {
        /** A fraction of the time by which deadlines that are handed on may be wrong. */
        const val MIN_STALL_MILLIS = 200L

        /** After longer stalls, such as a suspended host, most requests that still wait are recent ones. */
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
