package lavendertrail.dispatch

import lavendertrail.model.ServerId

/** What to do with the call at the head of a queue. */
internal sealed interface PlacementDecision {
    data class Start(
        val estimate: CandidateEstimate,
    ) : PlacementDecision

    /** Waiting until [untilMillis] for a slot at [server] is expected to be faster than to start elsewhere now. */
    data class Hold(
        val server: ServerId,
        val untilMillis: Long,
    ) : PlacementDecision

    /** No candidate has room. */
    data object Wait : PlacementDecision
}

/** Chooses among the candidates, given their estimates in the same order. */
internal typealias PlacementPolicy = (PlacementQuery, List<CandidateEstimate>) -> PlacementDecision

// Below this difference an estimate tells nothing: it is the order of a decode step and the network's jitter.
private const val NEAR_EQUAL_MILLIS = 5.0

// A hold must promise at least this, since its estimate of the slot is rough.
private const val HOLD_GAIN_MILLIS = 100.0
private const val MAX_HELD_PER_SERVER = 4

/** Least estimated time to first token; near-equal candidates share at random, so that nodes don't all pick the same. */
internal val estimatedPlacement: PlacementPolicy = { query, estimates ->
    val open = estimates.filter { it.hasRoom }
    if (open.isEmpty()) {
        PlacementDecision.Wait
    } else {
        val best = open.minOf { it.totalMillis }
        holdFor(query, estimates, best) ?: run {
            val slack = maxOf(NEAR_EQUAL_MILLIS, best * query.settings.nearEqualPercent / 100)
            val near = open.filter { it.totalMillis <= best + slack }
            val warm = near.filter { it.transferFrom == null && it.cachedTokens * 2 >= query.call.promptTokens }
            if (warm.isNotEmpty()) return@run PlacementDecision.Start(warm.minBy { it.totalMillis })
            PlacementDecision.Start(near[(query.random() * near.size).toInt().coerceAtMost(near.size - 1)])
        }
    }
}

private fun holdFor(
    query: PlacementQuery,
    estimates: List<CandidateEstimate>,
    bestOpenMillis: Double,
): PlacementDecision.Hold? {
    if (!query.entry.mayHold) return null
    val full = estimates.filter { !it.hasRoom && it.cachedTokens > 0 }.minByOrNull { it.totalMillis } ?: return null
    val held =
        query.candidates
            .first { it.record.server == full.server }
            .view.heldCalls.size
    val gain = bestOpenMillis - full.totalMillis
    if (gain < HOLD_GAIN_MILLIS || held >= MAX_HELD_PER_SERVER) return null
    // Waiting longer than the gain plus the expected wait would be a loss even if the slot came then.
    val waitMillis = minOf(query.settings.maxHoldMillis.toDouble(), full.queueMillis + gain).toLong()
    return PlacementDecision.Hold(full.server, query.nowMillis + waitMillis)
}

internal val roundRobinPlacement: PlacementPolicy = { query, estimates ->
    val open = estimates.filter { it.hasRoom }
    if (open.isEmpty()) PlacementDecision.Wait else PlacementDecision.Start(open[(query.turn % open.size).toInt()])
}

internal val leastLoadPlacement: PlacementPolicy = { query, estimates ->
    val open = estimates.filter { it.hasRoom }
    val least = open.minOfOrNull { it.runningCalls }
    if (least == null) {
        PlacementDecision.Wait
    } else {
        val near = open.filter { it.runningCalls == least }
        PlacementDecision.Start(near[(query.random() * near.size).toInt().coerceAtMost(near.size - 1)])
    }
}

/** The server that ran the program last while it has room, else the least loaded. */
internal val stickyPlacement: PlacementPolicy = { query, estimates ->
    val sticky = estimates.firstOrNull { it.server == query.stickyServer && it.hasRoom }
    if (sticky != null) PlacementDecision.Start(sticky) else leastLoadPlacement(query, estimates)
}
