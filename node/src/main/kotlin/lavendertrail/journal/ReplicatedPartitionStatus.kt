package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/** State of an owned partition's journal, for a dump: [lag] is the number of entries that each copy still lacks. */
public data class ReplicatedPartitionStatus(
    public val partition: PartitionId,
    public val epoch: Long,
    public val journalNodes: List<NodeId>,
    public val nextIndex: Long,
    public val waitingAppends: Int,
    public val lag: Map<NodeId, Long>,
    public val errors: List<String>,
)
