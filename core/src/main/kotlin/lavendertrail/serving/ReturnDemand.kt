package lavendertrail.serving

import kotlin.math.abs
import kotlin.math.ln
import kotlin.math.pow

/**
 * Callers of one service that this entry host turned away lately, and the requests that ended here meanwhile. Answers demand that is
 * uneven in time and between hosts: each host gives its callers only as many places as become free through it, so that no host needs
 * the counts of others. The counts fade, so that old news loses its weight by itself.
 */
internal data class ReturnDemand(
    private val ended: Double = 0.0,
    private val begun: Double = 0.0,
    private val runningTurnedAway: Double = 0.0,
    private val newTurnedAway: Double = 0.0,
    private val countedAtMillis: Long = 0,
    private val meanPromptTokens: Double = 0.0,
    private val promptTokensDeviation: Double = 0.0,
) {
    /** Time in which as many requests end here as running programs were turned away. */
    val runningBacklogMillis: Double get() = runningTurnedAway / (ended + ASSUMED_ENDED) * MEAN_AGE_MILLIS

    /** Time in which as many programs begin here as new ones were turned away. */
    val newBacklogMillis: Double get() = newTurnedAway / (begun + ASSUMED_BEGUN) * MEAN_AGE_MILLIS

    fun withEnded(
        isFirstTurn: Boolean,
        nowMillis: Long,
    ): ReturnDemand = faded(nowMillis).run { copy(ended = ended + 1, begun = begun + if (isFirstTurn) 1 else 0) }

    fun withTurnedAway(
        isRunning: Boolean,
        promptTokens: Int,
        nowMillis: Long,
    ): ReturnDemand =
        faded(nowMillis).run {
            if (!isRunning) return copy(newTurnedAway = newTurnedAway + 1)
            val difference = promptTokens - meanPromptTokens
            copy(
                runningTurnedAway = runningTurnedAway + 1,
                meanPromptTokens = if (meanPromptTokens == 0.0) promptTokens.toDouble() else meanPromptTokens + difference * LATEST_WEIGHT,
                promptTokensDeviation =
                    if (meanPromptTokens == 0.0) 0.0 else promptTokensDeviation + (abs(difference) - promptTokensDeviation) * LATEST_WEIGHT,
            )
        }

    /**
     * Where a running program stands among those turned away, 0 for the one that has invested most. A prompt holds all earlier turns,
     * and that of a sub-agent its parent's, so that its length tells what the program has invested. [hash] parts equal ones.
     */
    fun investedPosition(
        promptTokens: Int,
        hash: Double,
    ): Double {
        if (promptTokensDeviation <= 0) return hash
        val rank = (0.5 - (promptTokens - meanPromptTokens) / (RANKED_DEVIATIONS * promptTokensDeviation)).coerceIn(0.0, 1.0)
        return rank * (1 - HASH_SHARE) + hash * HASH_SHARE
    }

    private fun faded(nowMillis: Long): ReturnDemand {
        val share = 0.5.pow((nowMillis - countedAtMillis).coerceAtLeast(0) / HALF_LIFE_MILLIS)
        return copy(
            ended = ended * share,
            begun = begun * share,
            runningTurnedAway = runningTurnedAway * share,
            newTurnedAway = newTurnedAway * share,
            countedAtMillis = nowMillis,
        )
    }

    private companion object {
        /** About as long as a caller waits that returns as late as it can. */
        const val HALF_LIFE_MILLIS = 1_000.0
        val MEAN_AGE_MILLIS = HALF_LIFE_MILLIS / ln(2.0)

        /** What a host with no news assumes, in counts of the mean age, until its own counts outweigh it. */
        const val ASSUMED_ENDED = 1.0
        const val ASSUMED_BEGUN = 0.5

        /** Two mean deviations on either side hold nearly all programs. */
        const val RANKED_DEVIATIONS = 4.0
        const val HASH_SHARE = 0.25
        const val LATEST_WEIGHT = 0.1
    }
}
