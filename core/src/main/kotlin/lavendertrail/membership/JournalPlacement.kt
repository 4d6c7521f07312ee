package lavendertrail.membership

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.NodeState

/**
 * The journal nodes that [partition] should have: live nodes with a disk in distinct failure domains of this region,
 * or, where only one domain has any left, two hosts of it: the loss of one host then still loses nothing.
 * Present ones that are alive are kept, because moving a copy costs a transfer. Null where too few are alive. [avoid] answers probes but can't write.
 */
internal fun NodeState.chooseJournalNodes(
    partition: PartitionId,
    present: List<NodeId>,
    avoid: NodeId? = null,
): List<NodeId>? {
    val candidates = liveRegionRecords().filter { it.journal && it.node != avoid }
    val kept = present.mapNotNull { node -> candidates.find { it.node == node } }
    val ranked = kept + candidates.rankedFor(partition).filter { it !in kept }
    val apart = ranked.distinctBy { it.failureDomain }.take(settings.membership.journalCopies)
    val chosen = apart + (ranked - apart.toSet()).take(settings.membership.journalCopies - apart.size)
    return chosen.map { it.node }.takeIf { it.size == settings.membership.journalCopies }
}
