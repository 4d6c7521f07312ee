package lavendertrail.serving

/**
 * Compares the time that streams of a service take now with the time that they take under low load. Waits count as well as the speed
 * of generation: while servers state limits, or their queues are long, streams start late although they then run at full speed.
 *
 * All times are moving averages over about the last 15 to 20 answers. [idleStartMillis] is the shortest average time to the first
 * event so far; like that of [StreamPace] it rises slowly.
 */
internal data class TurnPace(
    val gaps: StreamPace = StreamPace(),
    val startMillis: Double = 0.0,
    val idleStartMillis: Double = 0.0,
    val generationMillis: Double = 0.0,
) {
    val slowdown: Double
        get() {
            if (!gaps.isMeaningful) return 1.0
            val idleMillis = idleStartMillis + generationMillis / gaps.slowdown
            return if (idleMillis <= 0) 1.0 else (startMillis + generationMillis) / idleMillis
        }

    /** Adds an answer whose first event came [startMillis] after its request could be sent, and its last [generationMillis] later. */
    fun observe(
        gapMillis: Double,
        startMillis: Double,
        generationMillis: Double,
    ): TurnPace {
        val isFirst = gaps.answerCount == 0
        val start = if (isFirst) startMillis else this.startMillis.movedTo(startMillis)
        return TurnPace(
            gaps = gaps.observe(gapMillis),
            startMillis = start,
            idleStartMillis = if (gaps.isMeaningful) minOf(idleStartMillis * IDLE_START_GROWTH, start) else start,
            generationMillis = if (isFirst) generationMillis else this.generationMillis.movedTo(generationMillis),
        )
    }

    private fun Double.movedTo(latest: Double): Double = this + (latest - this) * StreamPace.LATEST_WEIGHT

    private companion object {
        /** Doubles the idle time within 7,000 answers, which take several minutes under high load. */
        const val IDLE_START_GROWTH = 1.0001
    }
}
