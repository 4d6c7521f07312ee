package lavendertrail.dispatch

import kotlinx.serialization.Serializable
import lavendertrail.model.ServerId

/** The estimated time to first token of a call on one server, in its parts. [transferFrom] is set where import is cheaper. */
@Serializable
public data class CandidateEstimate(
    public val server: ServerId,
    public val queueMillis: Double,
    public val prefillMillis: Double,
    public val transferMillis: Double,
    public val distanceMillis: Double,
    public val weightsMillis: Double,
    /** Slowdown of generation by the calls that run there, and recompute that others need if their cache is displaced. */
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
