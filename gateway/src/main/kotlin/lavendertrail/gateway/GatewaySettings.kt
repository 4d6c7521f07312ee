package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.ServingSettings

/** What a gateway process needs to know before it starts. Addresses look like `10.1.4.7:7400`. */
public data class GatewaySettings(
    val nodeName: String,
    val failureDomain: FailureDomain,
    val callerAddress: String,
    /** Serves readiness, metrics and the state dump. */
    val readinessAddress: String,
    /** Where calls of other entry hosts to the hosts with disks are relayed; null to relay none. */
    val relayAddress: String?,
    /** How long a stop in order may take. */
    val graceMillis: Long,
    val serving: ServingSettings = ServingSettings(),
    /** Connections to servers in the same region open in a few milliseconds, or not at all. */
    val serverConnectMillis: Int = 400,
    /** Memory for turns that were used last; about a thousand turns. */
    val turnCacheBytes: Long = 8_000_000,
    /** How long a program's use of its budget is kept after its last turn; as long as the longest retention of turns. */
    val budgetRetentionMillis: Long = 120_000,
)
