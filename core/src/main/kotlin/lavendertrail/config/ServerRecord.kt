package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.OwnerId
import lavendertrail.model.RegionId
import lavendertrail.model.ServerId

/** A backend server. [address] is `ip:port`; [checksFencing] tells whether it rejects commands with an old fencing token. */
@Serializable
public data class ServerRecord(
    public val server: ServerId,
    public val kind: ServerKind,
    public val address: String,
    public val owner: OwnerId,
    public val region: RegionId,
    public val failureDomain: FailureDomain,
    public val models: List<ModelId> = emptyList(),
    public val maxRunningCalls: Int = 32,
    public val cacheCapacityTokens: Long = 400_000,
    public val checksFencing: Boolean = false,
)
