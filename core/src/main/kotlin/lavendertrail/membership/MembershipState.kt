package lavendertrail.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/** Who is alive, who owns which partition, and how far this node is with taking over its own. */
public data class MembershipState(
    public val nodes: PersistentMap<NodeId, NodeRecord> = persistentMapOf(),
    public val partitions: PersistentMap<PartitionId, PartitionEntry> = persistentMapOf(),
    public val serviceReachable: Boolean = true,
    public val shuttingDown: Boolean = false,
)
