package lavendertrail.serving

/**
 * Compares the current token generation speed of a service's engines with their speed under low load.
 *
 * [currentGapMillis] is a moving average of the time between events over the last 15 to 20 answers. [idleGapMillis] is the
 * shortest average seen so far. It rises slowly, so that engines that have become permanently slower are not taken as
 * overloaded forever.
 */
internal data class StreamPace(
    val currentGapMillis: Double = 0.0,
    val idleGapMillis: Double = 0.0,
    val answerCount: Int = 0,
) {
    /** Whether enough answers have been observed. */
    val isMeaningful: Boolean get() = answerCount >= MIN_ANSWERS

    val slowdown: Double get() = if (isMeaningful) currentGapMillis / idleGapMillis else 1.0

    fun observe(gapMillis: Double): StreamPace {
        if (answerCount == 0) return StreamPace(gapMillis, gapMillis, 1)
        val current = currentGapMillis + (gapMillis - currentGapMillis) * LATEST_WEIGHT
        val idle = if (!isMeaningful) current else minOf(idleGapMillis * IDLE_GAP_GROWTH, current)
        return StreamPace(current, idle, answerCount + 1)
    }

    companion object {
        /** Covers the last 15 to 20 answers, which an entry host sees in about a second under high load. */
        const val LATEST_WEIGHT = 0.06

        /** Answers needed before the average is meaningful. */
        private const val MIN_ANSWERS = 15

        /** Doubles the idle gap within 7,000 answers, which take several minutes under high load. */
        private const val IDLE_GAP_GROWTH = 1.0001
    }
}
