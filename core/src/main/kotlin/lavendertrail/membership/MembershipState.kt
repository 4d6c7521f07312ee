package lavendertrail.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/**
 * Who is alive, who owns which partition, and how far this node is with taking over its own.
 *
 * [partitions] mirrors the records in the key-value service; [owned] is this node's own part, and only [owned] decides
 * whether this node may act. [desired] is the owner that each partition of the region should have among the live nodes.
 */
public data class MembershipState(
    public val peers: PersistentMap<NodeId, PeerView> = persistentMapOf(),
    public val partitions: PersistentMap<PartitionId, PartitionEntry> = persistentMapOf(),
    public val owned: PersistentMap<PartitionId, OwnedPartition> = persistentMapOf(),
    public val serviceReachable: Boolean = true,
    public val shuttingDown: Boolean = false,
    public val dead: Set<NodeId> = emptySet(),
    public val desired: Map<PartitionId, NodeId> = emptyMap(),
    internal val suspicions: PersistentMap<SuspicionKey, HeardSuspicion> = persistentMapOf(),
    internal val firstListedMillis: Long? = null,
    internal val lastTickMillis: Long? = null,
    internal val nextProbeMillis: Long = 0,
    internal val liveChangedMillis: Long = 0,
    internal val live: List<NodeId> = emptyList(),
    internal val announcedDead: Set<NodeId> = emptySet(),
    internal val shutdownSinceMillis: Long? = null,
    internal val shutdownReported: Boolean = false,
) {
    /** The record of another node; null where it isn't known. */
    public fun nodeRecord(node: NodeId): NodeRecord? = peers[node]?.record
}

/** One observer's statement about one incarnation of a node. */
public data class SuspicionKey(
    public val node: NodeId,
    public val incarnation: Long,
    public val observer: NodeId,
)

/** When the observer said so, by this node's clock. */
public data class HeardSuspicion(
    public val saidAtMillis: Long,
)
