package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.ServingSettings

/** Startup settings of a gateway process. Addresses have the form `10.1.4.7:7400`. */
public data class GatewaySettings(
    val nodeName: String,
    val failureDomain: FailureDomain,
    val callerAddress: String,
    /** Address that serves readiness, metrics and the state dump. */
    val readinessAddress: String,
    /** Address at which other entry hosts have their calls to turn hosts relayed; null disables relaying. */
    val relayAddress: String?,
    /** Time limit for a graceful shutdown. */
    val graceMillis: Long,
    val serving: ServingSettings = ServingSettings(),
    /** Within a region, connections to servers open in a few milliseconds or not at all. */
    val serverConnectMillis: Int = 400,
    /** Size of the cache of recently used turns; holds about a thousand turns. */
    val turnCacheBytes: Long = 8_000_000,
    /** Memory for all responses of servers that are being read; many times what valid ones need. */
    val receiveBudgetBytes: Long = defaultReceiveBudgetBytes(),
)
