package lavendertrail.reducer

import kotlinx.serialization.Serializable
import lavendertrail.history.HistoryRecord
import lavendertrail.membership.NodeRecord
import lavendertrail.membership.PartitionRecord
import lavendertrail.membership.ProbeMessage
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId

/** The node records in the key-value service, as read or watched. */
@Serializable
public data class NodeRecordsRead(
    public val nodes: List<NodeRecord>,
) : Event

/** A partition record as read or watched; [revision] is the service's revision of that key, 0 where there is none. */
@Serializable
public data class PartitionRecordRead(
    public val partition: PartitionId,
    public val record: PartitionRecord?,
    public val revision: Long,
) : Event

/** Whether the key-value service answered the last request. */
@Serializable
public data class ServiceReachability(
    public val reachable: Boolean,
) : Event

@Serializable
public data class ProbeReceived(
    public val message: ProbeMessage,
) : Event

@Serializable
public data class ProbeAnswered(
    public val peer: NodeId,
    public val message: ProbeMessage,
) : Event

@Serializable
public data class ProbeFailed(
    public val peer: NodeId,
    public val error: String,
) : Event

/** A compare-and-swap of a partition record ended. Where [won] is false, [record] is the current record. */
@Serializable
public data class PartitionSwapEnded(
    public val partition: PartitionId,
    public val won: Boolean,
    public val record: PartitionRecord?,
    public val revision: Long,
) : Event

@Serializable
public data class PartitionSwapFailed(
    public val partition: PartitionId,
    public val error: String,
) : Event

/** The journal of a partition is sealed at [epoch], read, and held by [journalNodes]. */
@Serializable
public data class PartitionRecovered(
    public val partition: PartitionId,
    public val epoch: Long,
    public val journalNodes: List<NodeId>,
    public val records: List<HistoryRecord>,
) : Event

/** The recovery of a partition failed. [journalNode] is the node at which it failed, if that node was to hold a journal copy. */
@Serializable
public data class PartitionRecoveryFailed(
    public val partition: PartitionId,
    public val epoch: Long,
    public val error: String,
    public val journalNode: NodeId? = null,
) : Event

/** The process was requested to stop. */
@Serializable
public data object ShutdownRequested : Event

/** The node [from] has released [partitions], which this node should own. */
@Serializable
public data class HandoverOffered(
    public val from: NodeId,
    public val partitions: List<PartitionId>,
) : Event

public data class SendProbe(
    public val peer: NodeId,
    public val message: ProbeMessage,
) : Effect

/** Writes [record] by compare-and-swap on [expectedRevision]; 0 stands for "no such key". */
public data class SwapPartition(
    public val partition: PartitionId,
    public val expectedRevision: Long,
    public val record: PartitionRecord,
) : Effect

/** Reads a partition record again. */
public data class ReadPartition(
    public val partition: PartitionId,
) : Effect

/** Seals the partition's journal at [epoch] on [sealNodes], reads it and copies it to [journalNodes]. */
public data class RecoverPartition(
    public val partition: PartitionId,
    public val epoch: Long,
    public val sealNodes: List<NodeId>,
    public val journalNodes: List<NodeId>,
) : Effect

public data class OfferHandover(
    public val peer: NodeId,
    public val partitions: List<PartitionId>,
) : Effect

/** All partitions are handed over or closed; the process may exit. */
public data object ShutdownReady : Effect

/** Raised when this node may make decisions for the partition; [records] is its whole journal. */
@Serializable
public data class PartitionAcquired(
    public val partition: PartitionId,
    public val epoch: Long,
    public val records: List<HistoryRecord>,
) : Signal

/** Raised when this node must stop making decisions for the partition. */
@Serializable
public data class PartitionLost(
    public val partition: PartitionId,
    public val reason: String,
) : Signal

/** The partition's programs have no running call, so that it can be handed over. */
@Serializable
public data class PartitionDrained(
    public val partition: PartitionId,
) : Signal

/** Programs of the partition accept no new call; [PartitionDrained] follows once the running ones have ended. */
@Serializable
public data class PartitionDraining(
    public val partition: PartitionId,
) : Signal
