package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash
import kotlin.math.ln

/*
 * Shares of a service's servers in its callers, by weighted rendezvous hashing. Each subject has a distance to each server, and its
 * home is the nearest one. A distance is drawn from an exponential distribution with the server's size as its rate, by the hash of
 * both, so that a server is the nearest for a share of the subjects that follows its size. It depends on no other server: one that
 * comes takes its share evenly from all others, and one that goes leaves its share to them. All hosts compute the same distances.
 */

/** What a request is placed by: all requests with the same affinity key or session have the same home. */
internal fun subjectHash(request: CallerRequest): Long = stableHash(request.affinityKey ?: request.sessionId ?: request.attemptId)

internal fun homeOf(
    subjectHash: Long,
    servers: List<ServerState>,
): ServerState? = nearestServers(subjectHash, servers, 1).firstOrNull()

/** The [count] servers that are nearest to a subject, its home first. Overflow of a server goes to the next one in this order. */
internal fun nearestServers(
    subjectHash: Long,
    servers: List<ServerState>,
    count: Int,
): List<ServerState> {
    val nearest = ArrayList<ServerState>(count + 1)
    val distances = DoubleArray(count + 1)
    for (index in servers.indices) {
        val state = servers[index]
        val limit = if (nearest.size < count) Double.POSITIVE_INFINITY else distances[count - 1]
        val distance = homeDistance(subjectHash, state.server, limit)
        if (distance >= limit) continue
        var position = nearest.size
        while (position > 0 && distances[position - 1] > distance) position--
        distances.copyInto(distances, position + 1, position, nearest.size)
        distances[position] = distance
        nearest.add(position, state)
        if (nearest.size > count) nearest.removeLast()
    }
    return nearest
}

/** The distance of a subject to [server]; infinite if it is not below [limit]. */
private fun homeDistance(
    subjectHash: Long,
    server: BackendServer,
    limit: Double,
): Double {
    val uniform = ((mix(subjectHash xor server.homeSeed) ushr UNUSED_HASH_BITS) + HALF_STEP) / UNIFORM_STEPS
    val size = server.slots.coerceAtLeast(1)
    // The negative logarithm is never below this, and takes ten times as long.
    if (1 - uniform >= limit * size) return Double.POSITIVE_INFINITY
    return -ln(uniform) / size
}

private const val UNUSED_HASH_BITS = 11
private const val HALF_STEP = 0.5
private const val UNIFORM_STEPS = 9_007_199_254_740_992.0
