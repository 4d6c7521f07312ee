package lavendertrail.dispatch

import kotlinx.serialization.Serializable
import lavendertrail.model.ServerId

/**
 * Estimated time to first token of a call on one server, by component. [transferFrom] is set where copying the cached
 * prefix from that server is cheaper than computing it.
 */
@Serializable
public data class CandidateEstimate(
    public val server: ServerId,
    public val queueMillis: Double,
    public val prefillMillis: Double,
    public val transferMillis: Double,
    public val distanceMillis: Double,
    public val weightsMillis: Double,
    /** Slowdown by batching with the calls that run there, and recomputation of cached prefixes that this prompt would evict. */
    public val interferenceMillis: Double,
    public val retryMillis: Double,
    public val cachedTokens: Int,
    public val runningCalls: Int,
    public val limit: Int,
    public val hasRoom: Boolean,
    public val transferFrom: ServerId? = null,
) {
    public val totalMillis: Double
        get() = queueMillis + prefillMillis + transferMillis + distanceMillis + weightsMillis + interferenceMillis + retryMillis
}
