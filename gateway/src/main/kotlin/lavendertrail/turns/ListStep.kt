package lavendertrail.turns

/** What a change does to the list of turn hosts. */
internal enum class ListChange {
    JOIN,

    /** The host leaves after it has offered all its records to all others. */
    RETIREMENT,

    /** The host leaves without having handed over anything. */
    REMOVAL,
}

/**
 * What is known of a list of turn hosts that is to be replaced, and which changes of it are safe. It is pure, so that a model can
 * try all orders of changes and losses.
 *
 * Callers may still use the list before this one. Its quorums must meet those of the list after this one, in either of two ways:
 * - Every quorum of the list before is one of this list as well, as far as its hosts are still members. This is so where a join leaves
 *   the size of quorums as it is, and where a host retired, since it has offered its records to all others.
 * - Members that have settled this list refuse callers of the list before, and have made the missing copies. The others of them are
 *   fewer than a quorum.
 *
 * So a host that is lost for good never prevents its replacement, in lists as short as the number of copies too.
 */
internal class ListStep(
    private val hosts: TurnHosts,
    private val states: Map<String, ListStateReply>,
    private val liveNames: Set<String>,
    departed: List<DepartedHost>,
) {
    private val names = hosts.hosts.mapTo(mutableSetOf()) { it.name }
    private val size = names.size
    private val followsRemoval = departed.any { it.pending.toSet() == names }
    val settled: Set<String> = states.filterValues { it.settledRevision >= hosts.revision }.keys
    private val unsettledCount = size - settled.size

    /** Whether the list may be replaced by one with [change]. */
    fun allows(change: ListChange): Boolean {
        if (change == ListChange.RETIREMENT && size - 1 < hosts.copies) return false
        return areLiveMembersReady(change) && isPreviousListCovered()
    }

    private fun areLiveMembersReady(change: ListChange): Boolean {
        // The copies that one host took with it must be made before another one leaves with the copies that are left.
        val mustSettle = change == ListChange.REMOVAL || followsRemoval
        val ready = if (mustSettle) settled else states.filterValues { it.revision >= hosts.revision }.keys
        return names.all { it !in liveNames || it in ready }
    }

    private fun isPreviousListCovered(): Boolean = isCoveredAfterJoin() && (!followsRemoval || isCoveredAfterRemoval())

    private fun isCoveredAfterJoin(): Boolean {
        val previousSize = size - 1
        return previousSize < hosts.copies || quorum(previousSize) >= quorum(size) || unsettledCount < quorum(previousSize)
    }

    private fun isCoveredAfterRemoval(): Boolean {
        val previousQuorum = quorum(size + 1)
        return previousQuorum - 1 >= quorum(size) || unsettledCount + 1 < previousQuorum
    }

    private fun quorum(size: Int): Int = quorumOf(size, hosts.copies)
}
