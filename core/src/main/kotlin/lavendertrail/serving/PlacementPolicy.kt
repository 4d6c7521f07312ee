package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash
import kotlin.math.abs

/**
 * Chooses the server of one request, or null where every candidate is full.
 *
 * The policies answer a steady load from several entry hosts, none of which sees the others' requests before a server
 * reports them.
 */
internal typealias PlacementPolicy = (PlacementInput) -> ServerState?

internal data class PlacementInput(
    val candidates: List<ServerState>,
    val request: CallerRequest,
    val isEngine: Boolean,
    val selfDomain: String,
    val recentServerId: String?,
    val meanServiceMillis: Double,
    val nowMillis: Long,
    val settings: ServingSettings,
)

/**
 * Takes the server with the lowest estimated time until the request's first work: the wait for a slot, the prompt parts to
 * read, and the way. The object or session of a request adds a fixed preference per server, so that hosts which know nothing
 * of a session's earlier turns choose the same server, and equal servers are not chosen in the same order by all hosts.
 */
internal val estimatedStart: PlacementPolicy = { input ->
    input.candidates
        .filter { it.hasRoom(input) }
        .minByOrNull { input.estimateMillis(it) }
}

private fun ServerState.hasRoom(input: PlacementInput): Boolean {
    val limit = slots * (1 + input.settings.maxQueueShare)
    return occupancy(input.nowMillis, input.settings.loadHalfLifeMillis) < limit
}

private fun PlacementInput.estimateMillis(state: ServerState): Double {
    val occupied = state.occupancy(nowMillis, settings.loadHalfLifeMillis)
    val waitMillis = (occupied - state.slots + 1).coerceAtLeast(0.0) * meanServiceMillis / state.slots
    val busyMillis = occupied / state.slots * meanServiceMillis * BUSY_SHARE
    val unreadTokens = if (isEngine) request.promptParts.sumOf { it.tokens } - cachedTokens(state) else 0
    val wayMillis = if (state.server.failureDomain.value == selfDomain) 0.0 else settings.remoteDomainCostMillis
    val preference = preferenceOf(request, state.server.id) * PREFERENCE_MILLIS
    return waitMillis + busyMillis + unreadTokens / settings.prefillTokensPerMilli + wayMillis + preference
}

/** What this process sent to the server, and all but the newest part where the session's last turn ran there. */
private fun PlacementInput.cachedTokens(state: ServerState): Int {
    val parts = request.promptParts
    val known = state.cache.cachedTokens(parts)
    return if (state.server.id == recentServerId) maxOf(known, parts.dropLast(1).sumOf { it.tokens }) else known
}

// Running requests share an engine's steps, so a full batch slows each of them by about a tenth to a quarter.
private const val BUSY_SHARE = 0.2

// Large against differences of a request or two in load, small against a full prompt of about 35 ms.
private const val PREFERENCE_MILLIS = 10.0

private fun preferenceOf(
    request: CallerRequest,
    serverId: String,
): Double {
    val subject = request.affinityKey ?: request.sessionId ?: request.attemptId
    val hash = mix(stableHash(subject) xor stableHash(serverId))
    return abs(hash % HASH_STEPS).toDouble() / HASH_STEPS
}

private const val HASH_STEPS = 1_000L
