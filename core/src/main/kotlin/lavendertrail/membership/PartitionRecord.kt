package lavendertrail.membership

import kotlinx.serialization.Serializable
import lavendertrail.model.NodeId

/** Who owns a partition and where its journal is. [epoch] rises with each change of the owner or the journal nodes. */
@Serializable
public data class PartitionRecord(
    public val epoch: Long,
    public val ownerNode: NodeId?,
    public val ownerIncarnation: Long,
    public val journalNodes: List<NodeId>,
)
