package lavendertrail.membership

import lavendertrail.model.NodeId

/** How far this node is with a partition that it owns or is about to own. */
public enum class OwnershipPhase {
    /** A compare-and-swap that makes this node the owner is under way. */
    CLAIMING,

    /** The journal is being sealed, read and copied. */
    RECOVERING,

    /** A compare-and-swap that records the new journal nodes is under way. */
    RECORDING,

    /** This node decides for the partition. */
    ACTIVE,

    /** No new call starts; the partition is released once running calls ended. */
    DRAINING,

    /** A compare-and-swap that gives the partition up is under way. */
    RELEASING,
}

/** A partition that this node owns or is about to own; [sinceMillis] is when [phase] began. */
public data class OwnedPartition(
    public val phase: OwnershipPhase,
    public val epoch: Long,
    public val sinceMillis: Long,
    internal val retryAtMillis: Long = 0,
    internal val recovered: RecoveredJournal? = null,
    internal val avoidJournalNode: NodeId? = null,
) {
    /** Whether this node may start calls of the partition. */
    public val isActive: Boolean get() = phase == OwnershipPhase.ACTIVE
}
