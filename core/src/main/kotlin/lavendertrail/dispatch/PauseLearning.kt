package lavendertrail.dispatch

import lavendertrail.model.ServerId

/**
 * Lengths of a tool's pauses in buckets that double, with fading counts: about the last 50 pauses count.
 *
 * A quantile is the upper end of its bucket, so that it is at most twice too long.
 */
internal data class PauseHistogram(
    private val counts: List<Double> = List(BUCKETS) { 0.0 },
) {
    fun added(pausedMillis: Long): PauseHistogram {
        val bucket = (64 - pausedMillis.coerceAtLeast(0).countLeadingZeroBits()).coerceAtMost(BUCKETS - 1)
        return PauseHistogram(counts.mapIndexed { index, count -> count * FADE + if (index == bucket) 1.0 else 0.0 })
    }

    /** Null until a few pauses were seen. */
    fun quantileMillis(quantile: Double): Long? {
        val total = counts.sum()
        if (total < MIN_SAMPLES) return null
        var sum = 0.0
        for ((bucket, count) in counts.withIndex()) {
            sum += count
            if (sum >= total * quantile) return 1L shl bucket
        }
        return 1L shl BUCKETS - 1
    }

    private companion object {
        /** 2^22 ms is 70 minutes; longer pauses are not bridged anyway. */
        const val BUCKETS = 23
        const val FADE = 0.98
        const val MIN_SAMPLES = 2.5
    }
}

internal data class PauseLearning(
    private val tools: GenerationMap<String, PauseHistogram> = GenerationMap(limit = 1_000),
) {
    fun quantileMillis(
        tool: String,
        quantile: Double,
        defaultMillis: Long,
    ): Long = tools[tool]?.quantileMillis(quantile) ?: defaultMillis

    fun learned(
        tool: String,
        pausedMillis: Long,
    ): PauseLearning = copy(tools = tools.put(tool, (tools[tool] ?: PauseHistogram()).added(pausedMillis)))
}

/** What becomes of a program's cache while a tool runs. */
internal sealed interface PauseDecision {
    data class Keep(
        val pinMillis: Long,
    ) : PauseDecision

    /** Copies it to a server with more room; the first one may then evict it. */
    data class Export(
        val to: ServerId,
    ) : PauseDecision

    /** Gives the pin up; the engine evicts the cache when it needs the room. */
    data object Drop : PauseDecision

    data object Leave : PauseDecision
}

/** [exportTo] is the server with the most room, if any has enough; [recomputeMillis] is what the loss would cost. */
internal class PauseQuery(
    val medianMillis: Long,
    val longMillis: Long,
    val recomputeMillis: Double,
    val transferMillis: Double,
    val fillPercent: Int,
    val exportTo: ServerId?,
    /** Pins of this node leave room for one more there. */
    val mayPin: Boolean,
    val settings: DispatchSettings,
)

internal typealias PausePolicy = (PauseQuery) -> PauseDecision

internal val neverKeep: PausePolicy = { PauseDecision.Leave }

// Under pressure the room is worth about eight times its recompute time: a pause of eight recomputes breaks even when
// one in eight other programs would have used the room meanwhile. Not measured.
private const val PRESSURE_PATIENCE = 8.0

/** Keep while there is room; under pressure keep only what comes back soon, export what is worth a copy, else drop. */
internal val learnedPause: PausePolicy = { query ->
    val pinMillis = minOf(query.longMillis, query.settings.maxPinMillis)
    when {
        query.mayPin && query.fillPercent < query.settings.cachePressurePercent -> PauseDecision.Keep(pinMillis)
        query.mayPin && query.medianMillis <= query.recomputeMillis * PRESSURE_PATIENCE ->
            PauseDecision.Keep(
                minOf(
                    pinMillis,
                    2 * query.medianMillis,
                ),
            )
        query.exportTo != null && query.transferMillis * 2 < query.recomputeMillis -> PauseDecision.Export(query.exportTo)
        else -> PauseDecision.Drop
    }
}
