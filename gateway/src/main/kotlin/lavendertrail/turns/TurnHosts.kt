package lavendertrail.turns

import lavendertrail.serving.TurnHost

/**
 * The current turn hosts and the number of them that may be lost at once.
 *
 * Budget use is written to and read from a majority of the hosts, so that the quorums of any two operations overlap, even if two
 * entry hosts have lists that differ by one host. A turn is immutable, so [copies] copies are enough.
 */
public data class TurnHosts(
    val hosts: List<TurnHost> = emptyList(),
    val tolerance: Int = 1,
    /** The revision of the list in the platform's store; 0 if it isn't known. */
    val revision: Long = 0,
) {
    public val copies: Int get() = tolerance + 1
    public val quorum: Int get() = quorumOf(hosts.size, copies)
    public val isSufficient: Boolean get() = hosts.size >= copies

    /**
     * The number of members whose lack of a record proves that it was never stored. Each record is at [copies] members, except that
     * each of [departedCount] hosts may have taken one copy with it that has not been replaced yet.
     */
    internal fun hostsOfProof(departedCount: Int): Int = hosts.size - tolerance + departedCount

    /** The number of hosts that must have [record]; all of them if there are fewer than it needs. */
    internal fun copiesOf(record: StoredRecord): Int = minOf(if (record.use != null) quorum else copies, hosts.size)
}

/** More than half of [size] hosts, and enough for a record to outlive the losses that are tolerated. */
internal fun quorumOf(
    size: Int,
    copies: Int,
): Int = maxOf(size / 2 + 1, copies)
