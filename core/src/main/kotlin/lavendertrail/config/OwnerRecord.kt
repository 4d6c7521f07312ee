package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.OwnerId
import lavendertrail.model.RegionId

/** An owner's share of contended capacity is its [weight] over the sum of weights. */
@Serializable
public data class OwnerRecord(
    public val owner: OwnerId,
    public val region: RegionId,
    public val weight: Int = 1,
)
