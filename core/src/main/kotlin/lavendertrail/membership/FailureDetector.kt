package lavendertrail.membership

import lavendertrail.dispatch.accountShares
import lavendertrail.dispatch.poisonMarks
import lavendertrail.model.NodeId
import lavendertrail.reducer.NodeState
import kotlin.random.Random

/** Suspicions passed on in one probe, so that a probe stays small when a whole failure domain is lost. */
private const val MAX_SUSPICIONS_PER_PROBE = 32

/** A node that is neither listed nor answering is forgotten after this time. */
private const val FORGET_AFTER_MILLIS = 60_000L

/** This node's record and those of its peers in the same region that are not dead. */
internal fun NodeState.liveRegionRecords(): List<NodeRecord> =
    membership.peers.values
        .map { it.record }
        .filter { it.region == self.region && it.node !in membership.dead }
        .plus(self)
        .distinctBy { it.node }

/** Nodes that should own partitions: alive, in this region, not leaving. Sorted, so that all nodes agree. */
internal fun NodeState.computeLive(): List<NodeId> =
    membership.peers.values
        .filter { it.record.region == self.region && it.record.node !in membership.dead && !it.leaving && !it.record.leaving }
        .map { it.record.node }
        .plus(if (membership.shuttingDown) emptyList() else listOf(self.node))
        .distinct()
        .sortedBy { it.value }

/** Peers to probe now: the next ones on the ring, one at random, and those whose state must be confirmed. */
internal fun NodeState.probeTargets(random: Random): List<NodeId> {
    val region =
        membership.peers.values
            .map { it.record }
            .filter { it.region == self.region }
            .map { it.node }
    val ring = (region + self.node).sortedBy { mix(stableHash(it.value)) }
    val start = ring.indexOf(self.node)
    val neighbours = (1..settings.membership.ringNeighbours).map { ring[(start + it) % ring.size] }
    val anyone =
        membership.peers.keys
            .toList()
            .randomOrNull(random)
    return (neighbours + listOfNotNull(anyone) + toConfirm()).distinct().filter { it != self.node }
}

/** Nodes that others suspect, and owners of partitions that the key-value service no longer lists. */
private fun NodeState.toConfirm(): List<NodeId> {
    val suspected = membership.suspicions.keys.map { it.node }
    val unlisted =
        membership.peers.values
            .filter { !it.listed }
            .map { it.record.node }
    return (suspected + unlisted).filter { it in membership.peers }
}

/** Nodes know each other's records from the key-value service; in probes they only bridge its outages, and are half of a probe's bytes. */
private const val RECORD_EVERY_ROUNDS = 10L

/** The message that goes with each probe and each answer to one. */
public fun NodeState.probeMessage(nowMillis: Long): ProbeMessage =
    ProbeMessage(
        from = self.node,
        incarnation = self.incarnation,
        leaving = membership.shuttingDown,
        configRevision = config.headRevision,
        suspects = ownSuspicions(nowMillis) + relayedSuspicions(nowMillis),
        poisonMarks = poisonMarks(nowMillis),
        accountShares = accountShares(),
        nodeRecord = self.takeIf { nowMillis / settings.membership.probeMillis % RECORD_EVERY_ROUNDS == 0L },
    )

private fun NodeState.ownSuspicions(nowMillis: Long): List<Suspicion> =
    membership.peers.values
        .filter { isFailing(it, nowMillis) }
        .take(MAX_SUSPICIONS_PER_PROBE)
        .map { Suspicion(it.record.node, it.record.incarnation, self.node, ageMillis = 0) }

private fun NodeState.relayedSuspicions(nowMillis: Long): List<Suspicion> =
    membership.suspicions.entries
        .sortedByDescending { it.value.saidAtMillis }
        .take(MAX_SUSPICIONS_PER_PROBE)
        .map { (key, heard) -> Suspicion(key.node, key.incarnation, key.observer, nowMillis - heard.saidAtMillis) }

/** Whether this node's own probes of [peer] have failed for long enough to suspect it. */
private fun NodeState.isFailing(
    peer: PeerView,
    nowMillis: Long,
): Boolean = peer.failingSinceMillis?.let { nowMillis - it >= settings.membership.suspectAfterMillis } ?: false

/**
 * Nodes of this region that count as dead: two observers agree, or the key-value service no longer lists the node and
 * this node can't reach it either.
 *
 * Where more than half of the region seems dead, this node is more likely cut off itself, so only nodes that are no
 * longer listed count.
 */
internal fun NodeState.computeDead(nowMillis: Long): Set<NodeId> {
    val observers = otherObservers()
    val candidates =
        membership.peers.values.filter {
            it.record.region == self.region &&
                (it.record.node in observers || isFailing(it, nowMillis))
        }
    if (candidates.isEmpty()) return emptySet()
    val peersInRegion = membership.peers.values.count { it.record.region == self.region }
    val suspected = candidates.filter { isSuspectedByEnough(it, observers[it.record.node].orEmpty(), peersInRegion, nowMillis) }
    val unlisted = candidates.filter { !it.listed && isFailing(it, nowMillis) }
    val counted = if (suspected.size * 2 > peersInRegion + 1) unlisted else suspected + unlisted
    return counted.map { it.record.node }.toSet()
}

/** Who else suspects which node in its present incarnation. Dead observers don't count. */
private fun NodeState.otherObservers(): Map<NodeId, Set<NodeId>> =
    membership.suspicions.keys
        .filter { it.observer !in membership.dead && membership.peers[it.node]?.record?.incarnation == it.incarnation }
        .groupBy({ it.node }, { it.observer })
        .mapValues { it.value.toSet() }

private fun NodeState.isSuspectedByEnough(
    peer: PeerView,
    others: Set<NodeId>,
    peersInRegion: Int,
    nowMillis: Long,
): Boolean {
    val heardMillis = peer.lastHeardMillis
    if (heardMillis != null && nowMillis - heardMillis < settings.membership.suspectAfterMillis) return false
    val observers = others.size + if (isFailing(peer, nowMillis)) 1 else 0
    return observers >= minOf(REQUIRED_OBSERVERS, peersInRegion)
}

/** One observer may have lost its own network; two rarely lose the same peer and nothing else. */
private const val REQUIRED_OBSERVERS = 2

/** Takes over what a probe says about its sender and about others. [answered] tells that the sender could be reached. */
internal fun NodeState.heardFrom(
    message: ProbeMessage,
    answered: Boolean,
    nowMillis: Long,
): NodeState {
    if (message.from == self.node) return this
    val known = membership.peers[message.from]
    val record = message.nodeRecord?.takeIf { known == null || it.incarnation >= known.record.incarnation } ?: known?.record ?: return this
    val view =
        (known ?: PeerView(record)).copy(
            record = record,
            leaving = message.leaving,
            lastHeardMillis = nowMillis,
            failingSinceMillis = if (answered) null else known?.failingSinceMillis,
        )
    val peers = membership.peers.put(message.from, view)
    return copy(membership = membership.copy(peers = peers)).withSuspicions(message.suspects, nowMillis)
}

private fun NodeState.withSuspicions(
    heard: List<Suspicion>,
    nowMillis: Long,
): NodeState {
    val fresh = heard.filter { it.observer != self.node && it.node != self.node && it.ageMillis < settings.membership.suspicionTtlMillis }
    val merged =
        fresh.fold(membership.suspicions) { all, said ->
            val key = SuspicionKey(said.node, said.incarnation, said.observer)
            val saidAtMillis = maxOf(nowMillis - said.ageMillis, all[key]?.saidAtMillis ?: Long.MIN_VALUE)
            all.put(key, HeardSuspicion(saidAtMillis))
        }
    return copy(membership = membership.copy(suspicions = merged))
}

internal fun NodeState.probeFailed(
    peer: NodeId,
    nowMillis: Long,
): NodeState {
    val view = membership.peers[peer] ?: return this
    val failing = view.copy(failingSinceMillis = view.failingSinceMillis ?: nowMillis)
    return copy(membership = membership.copy(peers = membership.peers.put(peer, failing)))
}

/** Merges the node records that the key-value service lists. Nodes that it doesn't list are kept until they fail. */
internal fun NodeState.listed(
    records: List<NodeRecord>,
    nowMillis: Long,
): NodeState {
    val others = records.filter { it.node != self.node }.associateBy { it.node }
    val updated =
        others.values.fold(membership.peers) { peers, record ->
            val known = peers[record.node]?.takeIf { it.record.incarnation >= record.incarnation }
            val view = known?.copy(listed = true, unlistedSinceMillis = null, record = newer(known.record, record)) ?: PeerView(record)
            peers.put(record.node, view)
        }
    val marked =
        updated.values.filter { it.record.node !in others && it.listed }.fold(updated) { peers, view ->
            peers.put(view.record.node, view.copy(listed = false, unlistedSinceMillis = nowMillis))
        }
    val first = membership.firstListedMillis ?: nowMillis
    return copy(membership = membership.copy(peers = marked, firstListedMillis = first))
}

private fun newer(
    known: NodeRecord,
    listed: NodeRecord,
): NodeRecord = if (listed.incarnation >= known.incarnation) listed else known

/** Drops statements that are too old and nodes that are gone for good. */
internal fun NodeState.expireObservations(nowMillis: Long): NodeState {
    val oldestMillis = nowMillis - settings.membership.suspicionTtlMillis
    val expired = membership.suspicions.filterValues { it.saidAtMillis <= oldestMillis }.keys
    val gone =
        membership.peers.values.filter { view ->
            val silent = nowMillis - (view.lastHeardMillis ?: 0) > FORGET_AFTER_MILLIS
            silent && view.unlistedSinceMillis?.let { nowMillis - it > FORGET_AFTER_MILLIS } ?: false
        }
    if (expired.isEmpty() && gone.isEmpty()) return this
    return copy(
        membership =
            membership.copy(
                suspicions = expired.fold(membership.suspicions) { all, key -> all.remove(key) },
                peers = gone.fold(membership.peers) { all, view -> all.remove(view.record.node) },
            ),
    )
}

/** After a pause of this process its probes failed for no fault of the peers; their failure times start anew. */
internal fun NodeState.forgetFailures(): NodeState {
    val failing = membership.peers.values.filter { it.failingSinceMillis != null }
    val peers = failing.fold(membership.peers) { all, view -> all.put(view.record.node, view.copy(failingSinceMillis = null)) }
    return copy(membership = membership.copy(peers = peers))
}
