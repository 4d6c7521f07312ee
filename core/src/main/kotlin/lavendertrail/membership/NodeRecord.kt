package lavendertrail.membership

import kotlinx.serialization.Serializable
import lavendertrail.model.FailureDomain
import lavendertrail.model.NodeId
import lavendertrail.model.RegionId

/** The record that a node publishes about itself in the key-value service; it is attached to the node's lease. */
@Serializable
public data class NodeRecord(
    public val node: NodeId,
    public val region: RegionId,
    public val failureDomain: FailureDomain,
    public val peerAddress: String,
    public val apiAddress: String,
    public val incarnation: Long,
    public val journal: Boolean,
    public val leaving: Boolean = false,
)
