package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash
import kotlin.math.abs

/**
 * Chooses the server of one request, or null where every candidate is full.
 *
 * Several entry hosts place requests at the same time. A host sees the requests of the others only after a server has
 * reported them.
 */
internal typealias PlacementPolicy = (PlacementInput) -> PlacementChoice?

/** [cause] is null where requests have no home. */
internal data class PlacementChoice(
    val state: ServerState,
    val cause: PlacementCause? = null,
)

internal data class PlacementInput(
    val candidates: List<ServerState>,
    val request: CallerRequest,
    val isEngine: Boolean,
    val selfDomain: String,
    val recentServerId: String?,
    val meanServiceDurationMillis: Double,
    /** How long the request may wait for a permit of a server with a request limit; null if it can't ask for one. */
    val maxPermitWaitMillis: Long? = null,
    val nowMillis: Long,
    val settings: ServingSettings,
    /** The [candidates], and the servers that could be home but may not be chosen now. */
    val listed: List<ServerState> = candidates,
    /** Servers to which an earlier attempt was sent. */
    val triedServers: Set<String> = emptySet(),
)

/**
 * Chooses the server with the lowest estimated time to start: the wait for a slot, the prefill of uncached prompt parts, and
 * the cost of a remote failure domain. A cost derived from the hash of the server and of the request's affinity key, session
 * or attempt id is added. With it, hosts that don't know a session's earlier turns choose the same server, and the hosts don't
 * all choose equally loaded servers in the same order.
 */
internal val lowestEstimatedStart: PlacementPolicy = { input ->
    input.candidates
        .filter { it.hasCapacity(input) }
        .minByOrNull { input.estimatedStartMillis(it) }
        ?.let { PlacementChoice(it) }
}

/** Requests have homes where a setting says how much a home is preferred. */
internal fun placementPolicy(settings: ServingSettings): PlacementPolicy =
    if (settings.homePreferenceMillis == null) lowestEstimatedStart else homeServer

/** Where a request goes. */
internal sealed interface Placement {
    data class Send(
        val server: BackendServer,
        val cause: PlacementCause? = null,
    ) : Placement

    /** One of [servers], all of which state a limit, the preferred one first. */
    data class AskPermit(
        val servers: List<ServerState>,
        val maxWaitMillis: Long,
    ) : Placement

    /** No server accepts the request soon enough. */
    data object Full : Placement
}

/**
 * Applies [policy], by which a server with a request limit needs a permit first. The request waits for a permit no longer than it
 * would take to start at the best server without a limit.
 */
internal fun choosePlacement(
    input: PlacementInput,
    policy: PlacementPolicy = placementPolicy(input.settings),
): Placement {
    val (best, cause) = policy(input) ?: return Placement.Full
    if (best.requestLimit == null) return Placement.Send(best.server, cause)
    val unlimited = policy(input.copy(candidates = input.candidates.filter { it.requestLimit == null }))?.state
    val limited =
        input.candidates
            .filter { it.requestLimit != null && it.hasCapacity(input) }
            .sortedBy { if (it === best) Double.NEGATIVE_INFINITY else input.estimatedStartMillis(it) }
            .take(MAX_PERMIT_CANDIDATES)
    val spareMillis = unlimited?.let { (input.estimatedStartMillis(it) - input.delayAfterSendMillis(best)).toLong() }
    val maxWaitMillis = input.maxPermitWaitMillis ?: 0
    return Placement.AskPermit(limited, spareMillis?.coerceIn(0, maxWaitMillis) ?: maxWaitMillis)
}

/** Enough to find a server with a permit, and few enough for a small message. */
private const val MAX_PERMIT_CANDIDATES = 12

internal fun ServerState.hasCapacity(input: PlacementInput): Boolean {
    if (requestLimit != null && !hasPermitInTime(input)) return false
    val limit = slots * (1 + input.settings.maxWaitingPerSlot)
    return occupancy(input.nowMillis, input.settings.loadHalfLifeMillis) < limit
}

private fun ServerState.hasPermitInTime(input: PlacementInput): Boolean {
    val maxWaitMillis = input.maxPermitWaitMillis ?: return false
    return permitWaitMillis(input.nowMillis) <= maxWaitMillis
}

internal fun PlacementInput.estimatedStartMillis(state: ServerState): Double =
    state.permitWaitMillis(nowMillis) + delayAfterSendMillis(state)

/** Estimated time from sending the request to [state] until it starts there. */
internal fun PlacementInput.delayAfterSendMillis(state: ServerState): Double {
    val occupied = state.occupancy(nowMillis, settings.loadHalfLifeMillis)
    val waitMillis = (occupied - state.slots + 1).coerceAtLeast(0.0) * meanServiceDurationMillis / state.slots
    val slowdownMillis = occupied / state.slots * meanServiceDurationMillis * FULL_BATCH_SLOWDOWN
    val uncachedTokens = if (isEngine) request.promptParts.sumOf { it.tokens } - cachedTokens(state) else 0
    val remoteDomainMillis = if (state.server.failureDomain.value == selfDomain) 0.0 else settings.remoteDomainCostMillis
    val affinityMillis =
        if (settings.homePreferenceMillis == null) affinityCostShare(request, state.server.id) * MAX_AFFINITY_COST_MILLIS else 0.0
    return waitMillis + slowdownMillis + uncachedTokens / settings.prefillTokensPerMillisecond + remoteDomainMillis + affinityMillis
}

/** Prompt tokens that are probably cached: those sent from here, or all but the last part where the session's last turn ran. */
internal fun PlacementInput.cachedTokens(state: ServerState): Int {
    val parts = request.promptParts
    val known = state.cache.cachedTokens(parts)
    return if (state.server.id == recentServerId) maxOf(known, parts.dropLast(1).sumOf { it.tokens }) else known
}

// Running requests share an engine's steps, so a full batch slows each of them by about a tenth to a quarter.
private const val FULL_BATCH_SLOWDOWN = 0.2

// Outweighs a load difference of one or two requests, but not the prefill of a full prompt, which takes about 35 ms.
private const val MAX_AFFINITY_COST_MILLIS = 10.0

private fun affinityCostShare(
    request: CallerRequest,
    serverId: String,
): Double {
    val subject = request.affinityKey ?: request.sessionId ?: request.attemptId
    val hash = mix(stableHash(subject) xor stableHash(serverId))
    return abs(hash % HASH_BUCKETS).toDouble() / HASH_BUCKETS
}

private const val HASH_BUCKETS = 1_000L
