package lavendertrail.serving

import kotlinx.serialization.Serializable

/** The [RequestLimit] of a server as one host tells it to another; [requestsPerSecond] is null if the server states none any more. */
@Serializable
public data class StatedLimit(
    val serverId: String,
    val requestsPerSecond: Double?,
    /** Time since the server's statement, since the clocks of hosts differ. */
    val statedMillisAgo: Long = 0,
)
