package lavendertrail.membership

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.NodeState

/**
 * Chooses the journal nodes of [partition]: live nodes with a disk in distinct failure domains of this region. If only
 * one domain has such nodes left, two hosts of that domain are chosen, so that the loss of one host still loses no data.
 *
 * Live nodes of [current] are preferred, because moving a copy costs a transfer. [avoid] is excluded: it answers probes but
 * can't write. Returns null if too few nodes are alive.
 */
internal fun NodeState.chooseJournalNodes(
    partition: PartitionId,
    current: List<NodeId>,
    avoid: NodeId? = null,
): List<NodeId>? {
    val candidates = liveRegionRecords().filter { it.journal && it.node != avoid }
    val kept = current.mapNotNull { node -> candidates.find { it.node == node } }
    val ranked = kept + candidates.rankedFor(partition).filter { it !in kept }
    val inDistinctDomains = ranked.distinctBy { it.failureDomain }.take(settings.membership.journalCopies)
    val chosen = inDistinctDomains + (ranked - inDistinctDomains.toSet()).take(settings.membership.journalCopies - inDistinctDomains.size)
    return chosen.map { it.node }.takeIf { it.size == settings.membership.journalCopies }
}
