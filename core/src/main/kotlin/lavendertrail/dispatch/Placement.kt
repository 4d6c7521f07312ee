package lavendertrail.dispatch

import lavendertrail.model.ServerId

/** What to do with the first call of a queue. */
internal sealed interface PlacementDecision {
    data class Start(
        val estimate: CandidateEstimate,
    ) : PlacementDecision

    /** Waiting for a slot at [server], until [untilMillis] at most, is expected to be faster than starting elsewhere now. */
    data class Hold(
        val server: ServerId,
        val untilMillis: Long,
    ) : PlacementDecision

    /** No candidate has room. */
    data object Wait : PlacementDecision
}

/** Chooses among the candidates, whose estimates are in the same order. */
internal typealias PlacementPolicy = (PlacementQuery, List<CandidateEstimate>) -> PlacementDecision

// Estimates that differ by less are treated as equal: it is about the duration of a decode step plus network jitter.
private const val NEAR_EQUAL_MILLIS = 5.0

// A hold requires at least this expected gain, since the estimated wait for a slot is imprecise.
private const val MIN_HOLD_GAIN_MILLIS = 100.0
private const val MAX_HELD_PER_SERVER = 4

/**
 * The server with the least estimated time to first token. Among servers with nearly equal estimates, one that has at least
 * half of the prompt cached is preferred; otherwise one is chosen at random, so that not all nodes choose the same server.
 */
internal val leastEstimatePlacement: PlacementPolicy = { query, estimates ->
    val withRoom = estimates.filter { it.hasRoom }
    if (withRoom.isEmpty()) {
        PlacementDecision.Wait
    } else {
        val best = withRoom.minOf { it.totalMillis }
        holdFor(query, estimates, best) ?: run {
            val slack = maxOf(NEAR_EQUAL_MILLIS, best * query.settings.nearEqualPercent / 100)
            val nearEqual = withRoom.filter { it.totalMillis <= best + slack }
            val cached = nearEqual.filter { it.transferFrom == null && it.cachedTokens * 2 >= query.call.promptTokens }
            if (cached.isNotEmpty()) return@run PlacementDecision.Start(cached.minBy { it.totalMillis })
            PlacementDecision.Start(nearEqual[(query.random() * nearEqual.size).toInt().coerceAtMost(nearEqual.size - 1)])
        }
    }
}

private fun holdFor(
    query: PlacementQuery,
    estimates: List<CandidateEstimate>,
    bestStartMillis: Double,
): PlacementDecision.Hold? {
    if (!query.entry.holdAllowed) return null
    val full = estimates.filter { !it.hasRoom && it.cachedTokens > 0 }.minByOrNull { it.totalMillis } ?: return null
    val held =
        query.candidates
            .first { it.record.server == full.server }
            .view.heldCalls.size
    val gain = bestStartMillis - full.totalMillis
    if (gain < MIN_HOLD_GAIN_MILLIS || held >= MAX_HELD_PER_SERVER) return null
    // Past the expected wait plus the gain, even an immediate slot would be slower than starting elsewhere now.
    val waitMillis = minOf(query.settings.maxHoldMillis.toDouble(), full.queueMillis + gain).toLong()
    return PlacementDecision.Hold(full.server, query.nowMillis + waitMillis)
}

internal val roundRobinPlacement: PlacementPolicy = { query, estimates ->
    val withRoom = estimates.filter { it.hasRoom }
    if (withRoom.isEmpty()) PlacementDecision.Wait else PlacementDecision.Start(withRoom[(query.sequence % withRoom.size).toInt()])
}

internal val leastLoadPlacement: PlacementPolicy = { query, estimates ->
    val withRoom = estimates.filter { it.hasRoom }
    val least = withRoom.minOfOrNull { it.runningCalls }
    if (least == null) {
        PlacementDecision.Wait
    } else {
        val nearEqual = withRoom.filter { it.runningCalls == least }
        PlacementDecision.Start(nearEqual[(query.random() * nearEqual.size).toInt().coerceAtMost(nearEqual.size - 1)])
    }
}

/** The server that ran the program's last call while it has room, otherwise the least loaded one. */
internal val stickyPlacement: PlacementPolicy = { query, estimates ->
    val sticky = estimates.firstOrNull { it.server == query.stickyServer && it.hasRoom }
    if (sticky != null) PlacementDecision.Start(sticky) else leastLoadPlacement(query, estimates)
}
