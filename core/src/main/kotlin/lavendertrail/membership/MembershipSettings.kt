package lavendertrail.membership

import kotlinx.serialization.Serializable
import lavendertrail.model.PartitionId

/**
 * Settings of failure detection and partition ownership. A region uses the [partitionsInUse] partitions starting at
 * [firstPartition]. Both are fixed for the lifetime of a deployment, and the ranges of different regions must not overlap.
 */
@Serializable
public data class MembershipSettings(
    public val probeMillis: Long = 500,
    public val probeTimeoutMillis: Long = 400,
    public val suspectAfterMillis: Long = 1_000,
    public val suspicionTtlMillis: Long = 4_000,
    public val ringNeighbours: Int = 3,
    public val firstPartition: Int = 0,
    public val partitionsInUse: Int = PartitionId.COUNT,
    public val maxSwapsInFlight: Int = 16,
    public val journalCopies: Int = 2,
    public val startupSettleMillis: Long = 1_000,
    public val rebalanceMillis: Long = 5_000,
    public val maxHandovers: Int = 4,
    public val drainMillis: Long = 60_000,
    public val retryMillis: Long = 500,
) {
    init {
        require(firstPartition >= 0 && firstPartition + partitionsInUse <= PartitionId.COUNT) {
            "firstPartition + partitionsInUse must be at most ${PartitionId.COUNT}, was $firstPartition + $partitionsInUse"
        }
        require(journalCopies in 1..2) { "journalCopies must be 1 or 2, was $journalCopies" }
    }

    /** The partition whose owner is the region's controller. */
    public val controllerPartition: PartitionId get() = PartitionId(firstPartition)

    public val regionPartitions: List<PartitionId> get() = (firstPartition until firstPartition + partitionsInUse).map(::PartitionId)

    public operator fun contains(partition: PartitionId): Boolean = partition.index - firstPartition in 0 until partitionsInUse
}
