package lavendertrail.membership

import lavendertrail.model.NodeId

/** Phase of a partition that this node owns or is claiming. */
public enum class OwnershipPhase {
    /** A compare-and-swap that makes this node the owner is in flight. */
    CLAIMING,

    /** The journal is being sealed, read and copied. */
    RECOVERING,

    /** A compare-and-swap that records the new journal nodes is in flight. */
    RECORDING,

    /** This node is the owner and makes all decisions for the partition. */
    ACTIVE,

    /** No new calls start; the partition is released once the running calls have ended. */
    DRAINING,

    /** A compare-and-swap that gives up the ownership is in flight. */
    RELEASING,
}

/** A partition that this node owns or is claiming. [sinceMillis] is the time at which [phase] began. */
public data class OwnedPartition(
    public val phase: OwnershipPhase,
    public val epoch: Long,
    public val sinceMillis: Long,
    internal val retryAtMillis: Long = 0,
    internal val recovered: RecoveredJournal? = null,
    internal val avoidJournalNode: NodeId? = null,
) {
    /** Whether this node may start calls of this partition. */
    public val isActive: Boolean get() = phase == OwnershipPhase.ACTIVE
}
