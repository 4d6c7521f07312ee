package lavendertrail.serving

import kotlinx.serialization.Serializable

/**
 * A server with a [RequestLimit] to which a request could be sent. Times are relative, since the clocks of hosts differ.
 *
 * [startDelayMillis] is the estimated time between sending the request and its start at the server.
 */
@Serializable
public data class PermitCandidate(
    val serverId: String,
    val requestsPerSecond: Double,
    /** Time since the server stated the limit. */
    val statedMillisAgo: Long,
    val startDelayMillis: Long = 0,
)
