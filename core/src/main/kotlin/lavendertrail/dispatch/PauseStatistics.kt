package lavendertrail.dispatch

import lavendertrail.model.ServerId

/**
 * Histogram of a tool's pause lengths, with bucket bounds that double. Counts decay exponentially, so that it covers about
 * the last 50 pauses.
 *
 * A quantile is the upper bound of its bucket, so it is at most twice the actual value.
 */
internal data class PauseHistogram(
    private val counts: List<Double> = List(BUCKETS) { 0.0 },
) {
    fun withPause(pausedMillis: Long): PauseHistogram {
        val bucket = (64 - pausedMillis.coerceAtLeast(0).countLeadingZeroBits()).coerceAtMost(BUCKETS - 1)
        return PauseHistogram(counts.mapIndexed { index, count -> count * DECAY_FACTOR + if (index == bucket) 1.0 else 0.0 })
    }

    /** The quantile, or null until the decayed number of pauses reaches [MIN_SAMPLES]. */
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
        /** The last bucket starts at 2^21 ms. Its bound of 2^22 ms is 70 minutes, and caches are not kept for longer pauses. */
        const val BUCKETS = 23
        const val DECAY_FACTOR = 0.98
        const val MIN_SAMPLES = 2.5
    }
}

internal data class PauseStatistics(
    private val tools: GenerationMap<String, PauseHistogram> = GenerationMap(limit = 1_000),
) {
    fun quantileMillis(
        tool: String,
        quantile: Double,
        defaultMillis: Long,
    ): Long = tools[tool]?.quantileMillis(quantile) ?: defaultMillis

    fun withPause(
        tool: String,
        pausedMillis: Long,
    ): PauseStatistics = copy(tools = tools.put(tool, (tools[tool] ?: PauseHistogram()).withPause(pausedMillis)))
}

/** What to do with a program's cache while a tool runs. */
internal sealed interface PauseDecision {
    data class Pin(
        val pinMillis: Long,
    ) : PauseDecision

    /** Copies it to a server with more room; the source may then evict it. */
    data class Export(
        val to: ServerId,
    ) : PauseDecision

    /** Releases the pin; the engine evicts the cache when it needs the space. */
    data object Release : PauseDecision

    data object NoAction : PauseDecision
}

/** [exportTo] is the server with the most room, if any has enough. [recomputeMillis] is the cost of losing the cache. */
internal class PauseQuery(
    val medianMillis: Long,
    val longMillis: Long,
    val recomputeMillis: Double,
    val transferMillis: Double,
    val fillPercent: Int,
    val exportTo: ServerId?,
    /** This node's pins at the server leave room for one more. */
    val pinAllowed: Boolean,
    val settings: DispatchSettings,
)

internal typealias PausePolicy = (PauseQuery) -> PauseDecision

internal val noPauseAction: PausePolicy = { PauseDecision.NoAction }

// Longest pause for which a cache is pinned under pressure, as a multiple of its recompute time. At eight, the cost and
// gain of the pin are equal if one in eight other programs would have used the space during the pause.
private const val MAX_PAUSE_RECOMPUTES = 8.0

/**
 * Pins the cache while the server has room. Under pressure it pins only for short pauses, exports caches that are much
 * cheaper to copy than to recompute, and releases the others.
 */
internal val adaptivePause: PausePolicy = { query ->
    val pinMillis = minOf(query.longMillis, query.settings.maxPinMillis)
    when {
        query.pinAllowed && query.fillPercent < query.settings.cachePressurePercent -> PauseDecision.Pin(pinMillis)
        query.pinAllowed && query.medianMillis <= query.recomputeMillis * MAX_PAUSE_RECOMPUTES ->
            PauseDecision.Pin(
                minOf(
                    pinMillis,
                    2 * query.medianMillis,
                ),
            )
        query.exportTo != null && query.transferMillis * 2 < query.recomputeMillis -> PauseDecision.Export(query.exportTo)
        else -> PauseDecision.Release
    }
}
