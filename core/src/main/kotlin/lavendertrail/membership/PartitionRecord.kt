package lavendertrail.membership

import kotlinx.serialization.Serializable
import lavendertrail.model.NodeId

/** The owner and the journal nodes of a partition. [epoch] increases with each new owner and each change of the journal nodes. */
@Serializable
public data class PartitionRecord(
    public val epoch: Long,
    public val ownerNode: NodeId?,
    public val ownerIncarnation: Long,
    public val journalNodes: List<NodeId>,
)
