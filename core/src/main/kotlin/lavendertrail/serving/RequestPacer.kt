package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.math.ceil

/**
 * Distributes the requests that servers with a [RequestLimit] accept. All entry hosts ask the same pacer before they send to such
 * a server, so the limit holds for their sum however unevenly the callers are distributed.
 *
 * Uses the generic cell rate algorithm: each permit moves the server's next one by the mean interval, and permits of up to
 * [BURST_MILLIS] may be used at once. A permit may be for a later time; requests that would have to wait longer than they can are
 * denied at once and reserve nothing.
 */
public data class RequestPacer(
    private val servers: PersistentMap<String, PacedServer> = persistentHashMapOf(),
) {
    /** Limits in force at [nowMillis]. */
    public fun statedLimits(nowMillis: Long): List<StatedLimit> =
        servers.mapNotNull { (id, server) ->
            server.requestsPerSecond?.takeIf { server.isCurrent(nowMillis) }?.let { StatedLimit(id, it, nowMillis - server.statedAtMillis) }
        }

    /** Applies statements of servers. An older statement never replaces a newer one. */
    public fun record(
        limits: List<StatedLimit>,
        nowMillis: Long,
    ): RequestPacer = limits.fold(withoutOutdated(nowMillis)) { pacer, limit -> pacer.record(limit, nowMillis) }

    private fun record(
        limit: StatedLimit,
        nowMillis: Long,
    ): RequestPacer {
        val statedAtMillis = nowMillis - limit.statedMillisAgo
        val known = servers[limit.serverId]
        if (known != null && known.statedAtMillis > statedAtMillis) return this
        val next = known ?: PacedServer(null, statedAtMillis, nextPermitAtMillis = nowMillis)
        return copy(
            servers = servers.put(limit.serverId, next.copy(requestsPerSecond = limit.requestsPerSecond, statedAtMillis = statedAtMillis)),
        )
    }

    private fun withoutOutdated(nowMillis: Long): RequestPacer {
        val outdated = servers.filterValues { nowMillis - it.statedAtMillis > MAX_AGE_MILLIS }.keys
        return if (outdated.isEmpty()) this else copy(servers = outdated.fold(servers) { left, id -> left.remove(id) })
    }

    /**
     * Gives one request to the candidate at which it starts first, if it doesn't wait longer than [maxWaitMillis] there. Only the part
     * [shareOf] of a server's limit is used.
     */
    public fun decide(
        candidates: List<PermitCandidate>,
        maxWaitMillis: Long,
        nowMillis: Long,
        shareOf: (serverId: String) -> Double = { 1.0 },
    ): Pair<RequestPacer, PermitDecision> {
        val known = record(candidates.map { StatedLimit(it.serverId, it.requestsPerSecond, it.statedMillisAgo) }, nowMillis)
        val (limited, unlimited) = candidates.partition { known.servers[it.serverId]?.requestsPerSecond != null }
        val chosen =
            limited
                .filter { known.waitMillis(it.serverId, nowMillis) <= maxWaitMillis }
                .minByOrNull { known.waitMillis(it.serverId, nowMillis) + it.startDelayMillis }
        val waitMillis = chosen?.let { known.waitMillis(it.serverId, nowMillis) } ?: 0
        val next = if (chosen == null) known else known.withPermit(chosen.serverId, nowMillis, shareOf(chosen.serverId))
        val decision =
            PermitDecision(
                serverId = chosen?.serverId,
                waitMillis = waitMillis,
                nextWaitMillis = limited.associate { it.serverId to next.waitMillis(it.serverId, nowMillis) },
                unlimitedServerIds = unlimited.mapTo(mutableSetOf()) { it.serverId },
            )
        return next to decision
    }

    private fun waitMillis(
        serverId: String,
        nowMillis: Long,
    ): Long = servers[serverId]?.let { (it.nextPermitAtMillis - BURST_MILLIS - nowMillis).coerceAtLeast(0) } ?: 0

    private fun withPermit(
        serverId: String,
        nowMillis: Long,
        share: Double,
    ): RequestPacer {
        val server = servers.getValue(serverId)
        val rate = (share * (server.requestsPerSecond ?: 0.0)).coerceAtLeast(MIN_REQUESTS_PER_SECOND)
        val nextPermitAtMillis = maxOf(server.nextPermitAtMillis, nowMillis) + ceil(MILLIS_PER_SECOND / rate).toLong()
        return copy(servers = servers.put(serverId, server.copy(nextPermitAtMillis = nextPermitAtMillis)))
    }

    /** [requestsPerSecond] is null once the server has stopped stating a limit. */
    public data class PacedServer(
        val requestsPerSecond: Double?,
        val statedAtMillis: Long,
        val nextPermitAtMillis: Long,
    ) {
        internal fun isCurrent(nowMillis: Long): Boolean = nowMillis - statedAtMillis <= MAX_AGE_MILLIS
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Requests arrive in clumps; half a second of them may be sent at once. */
        const val BURST_MILLIS = 500L

        /** A server that accepts almost nothing gets a request now and then, since only an answer tells that its limit has changed. */
        const val MIN_REQUESTS_PER_SECOND = 0.2

        /** Entry hosts repeat a statement every few seconds while the server answers; see `ServingSettings.limitReportMillis`. */
        const val MAX_AGE_MILLIS = 30_000L
    }
}
