package lavendertrail.gateway

import kotlinx.serialization.Serializable

/** State of a gateway process, served to operators as JSON. */
@Serializable
public data class GatewayDump(
    val node: String,
    val isReady: Boolean,
    val configVersion: Long?,
    /** Time since the platform's store last reported its changes; null before the first report. */
    val storeSilenceMillis: Long?,
    val pendingRequests: Int,
    val callerConnections: Int,
    val turnHosts: List<String>,
    /** Calls to turn hosts since the start that were made in place of slow ones. */
    val hedgedTurnCalls: Long,
    /** Estimated number of requests at each server, by server id. */
    val serverOccupancy: Map<String, Double>,
    /** The limits that servers state, in requests a second, by server id. */
    val requestLimits: Map<String, Double>,
    /** Number of client accounts; null where callers need no key. */
    val accounts: Int?,
    /** Whether requests with keys run; false while a key may have been taken away for too long without this process having heard. */
    val areKeysTrusted: Boolean,
    /** Requests that lavendertrail has rejected since the start, by reason. */
    val rejections: Map<String, Long>,
)
