package lavendertrail.serving

/*
 * Placement by home servers. A request goes to its home unless it would start there too much later than elsewhere, or the home has more
 * requests than its bound. Then it goes to the next server in its own order for which neither is so. Requests of a session go to the
 * server that has cached the session before they go home.
 */

/** Servers that could be the home of the request, also those that accept no new work. */
internal fun ServingWork.listedServers(pending: PendingRequest): List<ServerState> =
    parts.servers.values.filter { it.server.service == pending.service.name && pending.fitsVersionOf(it.server) }

internal val homeServer: PlacementPolicy = { input -> chooseNear(input) ?: chooseBeyondNear(input) }

private fun chooseNear(input: PlacementInput): PlacementChoice? {
    val nearest = nearestServers(subjectHash(input.request), input.candidates, NEAREST_SERVERS)
    val home = nearest.firstOrNull() ?: return null
    val caching = input.cachingServer(home)
    val order = if (caching == null) nearest else listOf(caching) + nearest.filter { it !== caching }
    val occupancies = DoubleArray(order.size) { order[it].occupancy(input.nowMillis, input.settings.loadHalfLifeMillis) }
    val startMillis =
        DoubleArray(order.size) {
            if (order[it].hasCapacity(input)) input.estimatedStartMillis(order[it]) else Double.POSITIVE_INFINITY
        }
    val earliestMillis = startMillis.min()
    if (earliestMillis.isInfinite()) return null
    val latestMillis = earliestMillis + (input.settings.homePreferenceMillis ?: 0.0)
    val maxPerSlot = maxOccupancyPerSlot(order, occupancies, input.settings)
    val isInBound = { index: Int -> occupancies[index] < maxPerSlot * order[index].slots }
    val inTime = order.indices.filter { startMillis[it] <= latestMillis }
    val chosen = inTime.firstOrNull(isInBound) ?: inTime.first()
    val homeIndex = order.indexOfFirst { it === home }
    val view = HomeView(home, caching, startMillis[homeIndex], earliestMillis, latestMillis, isInBound(homeIndex))
    return PlacementChoice(order[chosen], input.cause(order[chosen], view))
}

private fun chooseBeyondNear(input: PlacementInput): PlacementChoice? =
    lowestEstimatedStart(input)?.copy(cause = PlacementCause(PlacementReason.HOME_FULL))

/** The server of the session's last turn, if it has cached more of the prompt than the [home]. */
private fun PlacementInput.cachingServer(home: ServerState): ServerState? {
    if (!isEngine || recentServerId == null) return null
    val recent = candidates.firstOrNull { it.server.id == recentServerId } ?: return null
    return recent.takeIf { it !== home && cachedTokens(it) > cachedTokens(home) }
}

/** A server that is filled to its slots, or more than the others by a share, gives requests to the next ones. */
private fun maxOccupancyPerSlot(
    servers: List<ServerState>,
    occupancies: DoubleArray,
    settings: ServingSettings,
): Double = maxOf(1.0, settings.homeLoadBound * occupancies.sum() / servers.sumOf { it.slots })

/** The nearest candidate of a request, and what the decision depended on there. */
private class HomeView(
    val state: ServerState,
    val caching: ServerState?,
    val startMillis: Double,
    val earliestMillis: Double,
    val latestMillis: Double,
    val isInBound: Boolean,
)

private fun PlacementInput.cause(
    chosen: ServerState,
    view: HomeView,
): PlacementCause {
    // Servers that may not be chosen are no candidates, but may be the home.
    val home = if (listed.size == candidates.size) view.state else homeOf(subjectHash(request), listed) ?: view.state
    val aheadMillis = (cachedTokens(chosen) - cachedTokens(view.state)) / settings.prefillTokensPerMillisecond
    val remoteDomainMillis = if (view.state.server.failureDomain.value == selfDomain) 0.0 else settings.remoteDomainCostMillis
    val reason =
        when {
            chosen.server.id == home.server.id -> PlacementReason.HOME
            home.server.id in triedServers -> PlacementReason.RETRY
            home.server.id != view.state.server.id -> if (isFailing(home)) PlacementReason.HOME_FAILING else PlacementReason.HOME_LEAVING
            chosen === view.caching -> PlacementReason.CACHED_ELSEWHERE
            view.startMillis.isInfinite() -> PlacementReason.HOME_FULL
            !view.isInBound && view.startMillis - remoteDomainMillis <= view.latestMillis -> PlacementReason.HOME_FULL
            isEngine && aheadMillis > 0 && view.startMillis - aheadMillis <= view.latestMillis -> PlacementReason.CACHED_ELSEWHERE
            view.startMillis - remoteDomainMillis <= view.latestMillis -> PlacementReason.HOME_IN_OTHER_DOMAIN
            else -> PlacementReason.HOME_SLOWER
        }
    val slowerMillis = (view.startMillis - view.earliestMillis).toLong()
    return PlacementCause(reason, slowerMillis.takeIf { reason == PlacementReason.HOME_SLOWER })
}

private fun PlacementInput.isFailing(state: ServerState): Boolean = state.backoffUntilMillis > nowMillis

/** Servers, in the order of a subject, whose estimates are compared; the work of a decision doesn't grow with the service beyond it. */
private const val NEAREST_SERVERS = 40
