package lavendertrail.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/**
 * Membership as seen by this node: live and dead peers, partition owners, and the progress of its own partitions.
 *
 * [partitions] mirrors the records in the key-value service. [owned] holds the partitions that this node owns or is
 * claiming; only [owned] decides whether this node may act for a partition. [desired] maps each partition of the region
 * to the live node that should own it.
 */
public data class MembershipState(
    public val peers: PersistentMap<NodeId, PeerView> = persistentMapOf(),
    public val partitions: PersistentMap<PartitionId, PartitionEntry> = persistentMapOf(),
    public val owned: PersistentMap<PartitionId, OwnedPartition> = persistentMapOf(),
    public val serviceReachable: Boolean = true,
    public val shuttingDown: Boolean = false,
    public val dead: Set<NodeId> = emptySet(),
    public val desired: Map<PartitionId, NodeId> = emptyMap(),
    internal val suspicions: PersistentMap<SuspicionKey, ReceivedSuspicion> = persistentMapOf(),
    internal val firstListMillis: Long? = null,
    internal val lastTickMillis: Long? = null,
    internal val nextProbeMillis: Long = 0,
    internal val liveChangedMillis: Long = 0,
    internal val live: List<NodeId> = emptyList(),
    internal val announcedDead: Set<NodeId> = emptySet(),
    internal val shutdownSinceMillis: Long? = null,
    internal val shutdownReported: Boolean = false,
) {
    /** Returns the record of the peer [node], or null if the peer is unknown. */
    public fun nodeRecord(node: NodeId): NodeRecord? = peers[node]?.record
}

/** Identifies the suspicion that [observer] holds about one incarnation of [node]. */
public data class SuspicionKey(
    public val node: NodeId,
    public val incarnation: Long,
    public val observer: NodeId,
)

/** A suspicion received from another node. [observedAtMillis] is its latest observation on this node's clock. */
public data class ReceivedSuspicion(
    public val observedAtMillis: Long,
)
