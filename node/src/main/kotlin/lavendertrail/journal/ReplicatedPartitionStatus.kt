package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/** Status of the journal of an owned partition. [lag] is the number of entries that each copy still lacks. */
public data class ReplicatedPartitionStatus(
    public val partition: PartitionId,
    public val epoch: Long,
    public val journalNodes: List<NodeId>,
    public val nextIndex: Long,
    public val waitingAppends: Int,
    public val lag: Map<NodeId, Long>,
    public val errors: List<String>,
)
