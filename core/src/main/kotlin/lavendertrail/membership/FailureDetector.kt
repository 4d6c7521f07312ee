package lavendertrail.membership

import lavendertrail.dispatch.accountShares
import lavendertrail.dispatch.poisonMarks
import lavendertrail.model.NodeId
import lavendertrail.reducer.NodeState
import kotlin.random.Random

/** Limit for a node's own suspicions and for relayed ones in one probe; keeps probes small when a whole failure domain is lost. */
private const val MAX_SUSPICIONS_PER_PROBE = 32

/** A peer is removed once it has been unlisted and silent for this time. */
private const val FORGET_AFTER_MILLIS = 60_000L

/** Returns the records of this node and of all peers in its region that are not considered dead. */
internal fun NodeState.liveRegionRecords(): List<NodeRecord> =
    membership.peers.values
        .map { it.record }
        .filter { it.region == self.region && it.node !in membership.dead }
        .plus(self)
        .distinctBy { it.node }

/** Returns the nodes eligible to own partitions: alive, in this region and not leaving. Sorted, so that all nodes compute the same list. */
internal fun NodeState.computeLiveNodes(): List<NodeId> =
    membership.peers.values
        .filter { it.record.region == self.region && it.record.node !in membership.dead && !it.leaving && !it.record.leaving }
        .map { it.record.node }
        .plus(if (membership.shuttingDown) emptyList() else listOf(self.node))
        .distinct()
        .sortedBy { it.value }

/** Returns the peers to probe in this round: the next ones on the hash ring, a random one, and those whose state needs confirmation. */
internal fun NodeState.probeTargets(random: Random): List<NodeId> {
    val region =
        membership.peers.values
            .map { it.record }
            .filter { it.region == self.region }
            .map { it.node }
    val ring = (region + self.node).sortedBy { mix(stableHash(it.value)) }
    val start = ring.indexOf(self.node)
    val neighbours = (1..settings.membership.ringNeighbours).map { ring[(start + it) % ring.size] }
    val randomPeer =
        membership.peers.keys
            .toList()
            .randomOrNull(random)
    return (neighbours + listOfNotNull(randomPeer) + nodesToConfirm()).distinct().filter { it != self.node }
}

/** Returns the peers that other nodes suspect and those that the key-value service no longer lists. */
private fun NodeState.nodesToConfirm(): List<NodeId> {
    val suspected = membership.suspicions.keys.map { it.node }
    val unlisted =
        membership.peers.values
            .filter { !it.listed }
            .map { it.record.node }
    return (suspected + unlisted).filter { it in membership.peers }
}

/**
 * Probe rounds between two probes that carry the sender's [NodeRecord].
 *
 * Nodes read each other's records from the key-value service; the record in a probe only covers outages of the service
 * and accounts for half of a probe's bytes.
 */
private const val NODE_RECORD_INTERVAL_ROUNDS = 10L

/** Builds the message that this node sends with each probe and each answer to a probe. */
public fun NodeState.probeMessage(nowMillis: Long): ProbeMessage =
    ProbeMessage(
        from = self.node,
        incarnation = self.incarnation,
        leaving = membership.shuttingDown,
        configRevision = config.headRevision,
        suspects = ownSuspicions(nowMillis) + relayedSuspicions(nowMillis),
        poisonMarks = poisonMarks(nowMillis),
        accountShares = accountShares(),
        nodeRecord = self.takeIf { nowMillis / settings.membership.probeMillis % NODE_RECORD_INTERVAL_ROUNDS == 0L },
    )

private fun NodeState.ownSuspicions(nowMillis: Long): List<Suspicion> =
    membership.peers.values
        .filter { isFailing(it, nowMillis) }
        .take(MAX_SUSPICIONS_PER_PROBE)
        .map { Suspicion(it.record.node, it.record.incarnation, self.node, ageMillis = 0) }

private fun NodeState.relayedSuspicions(nowMillis: Long): List<Suspicion> =
    membership.suspicions.entries
        .sortedByDescending { it.value.observedAtMillis }
        .take(MAX_SUSPICIONS_PER_PROBE)
        .map { (key, received) -> Suspicion(key.node, key.incarnation, key.observer, nowMillis - received.observedAtMillis) }

/** Returns whether this node's own probes of [peer] have failed for long enough to suspect it. */
private fun NodeState.isFailing(
    peer: PeerView,
    nowMillis: Long,
): Boolean = peer.failingSinceMillis?.let { nowMillis - it >= settings.membership.suspectAfterMillis } ?: false

/**
 * Returns the nodes of this region that are considered dead. Either [REQUIRED_OBSERVERS] nodes suspect the node (one is enough in
 * a region with a single peer) and this node has heard nothing from it for `suspectAfterMillis`; or the key-value service no
 * longer lists it and this node can't reach it either.
 *
 * If more than half of the region is suspected, this node has more likely lost its own network connection. In that case
 * only unlisted nodes are considered dead.
 */
internal fun NodeState.computeDeadNodes(nowMillis: Long): Set<NodeId> {
    val observers = otherObserversByNode()
    val candidates =
        membership.peers.values.filter {
            it.record.region == self.region &&
                (it.record.node in observers || isFailing(it, nowMillis))
        }
    if (candidates.isEmpty()) return emptySet()
    val peersInRegion = membership.peers.values.count { it.record.region == self.region }
    val suspected = candidates.filter { isSuspectedByEnoughObservers(it, observers[it.record.node].orEmpty(), peersInRegion, nowMillis) }
    val unlisted = candidates.filter { !it.listed && isFailing(it, nowMillis) }
    val confirmed = if (suspected.size * 2 > peersInRegion + 1) unlisted else suspected + unlisted
    return confirmed.map { it.record.node }.toSet()
}

/** Maps each suspected node to the other nodes that suspect its current incarnation. Dead observers are ignored. */
private fun NodeState.otherObserversByNode(): Map<NodeId, Set<NodeId>> =
    membership.suspicions.keys
        .filter { it.observer !in membership.dead && membership.peers[it.node]?.record?.incarnation == it.incarnation }
        .groupBy({ it.node }, { it.observer })
        .mapValues { it.value.toSet() }

private fun NodeState.isSuspectedByEnoughObservers(
    peer: PeerView,
    others: Set<NodeId>,
    peersInRegion: Int,
    nowMillis: Long,
): Boolean {
    val lastHeardMillis = peer.lastHeardMillis
    if (lastHeardMillis != null && nowMillis - lastHeardMillis < settings.membership.suspectAfterMillis) return false
    val observers = others.size + if (isFailing(peer, nowMillis)) 1 else 0
    return observers >= minOf(REQUIRED_OBSERVERS, peersInRegion)
}

/** A single observer may have lost its own network connection; two observers rarely lose the same peer and nothing else. */
private const val REQUIRED_OBSERVERS = 2

/**
 * Merges a probe message: the sender's own state and its suspicions of other nodes. [answered] is true for the answer to a
 * probe of this node, which shows that the sender is reachable.
 */
internal fun NodeState.mergeProbeMessage(
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
    received: List<Suspicion>,
    nowMillis: Long,
): NodeState {
    val accepted =
        received.filter { it.observer != self.node && it.node != self.node && it.ageMillis < settings.membership.suspicionTtlMillis }
    val merged =
        accepted.fold(membership.suspicions) { all, suspicion ->
            val key = SuspicionKey(suspicion.node, suspicion.incarnation, suspicion.observer)
            val observedAtMillis = maxOf(nowMillis - suspicion.ageMillis, all[key]?.observedAtMillis ?: Long.MIN_VALUE)
            all.put(key, ReceivedSuspicion(observedAtMillis))
        }
    return copy(membership = membership.copy(suspicions = merged))
}

internal fun NodeState.recordProbeFailure(
    peer: NodeId,
    nowMillis: Long,
): NodeState {
    val view = membership.peers[peer] ?: return this
    val failing = view.copy(failingSinceMillis = view.failingSinceMillis ?: nowMillis)
    return copy(membership = membership.copy(peers = membership.peers.put(peer, failing)))
}

/** Merges the node records listed by the key-value service. Peers missing from the list are marked as unlisted but kept. */
internal fun NodeState.mergeNodeRecords(
    records: List<NodeRecord>,
    nowMillis: Long,
): NodeState {
    val others = records.filter { it.node != self.node }.associateBy { it.node }
    val updated =
        others.values.fold(membership.peers) { peers, record ->
            val known = peers[record.node]?.takeIf { it.record.incarnation >= record.incarnation }
            val view = known?.copy(listed = true, unlistedSinceMillis = null, record = newestOf(known.record, record)) ?: PeerView(record)
            peers.put(record.node, view)
        }
    val marked =
        updated.values.filter { it.record.node !in others && it.listed }.fold(updated) { peers, view ->
            peers.put(view.record.node, view.copy(listed = false, unlistedSinceMillis = nowMillis))
        }
    val first = membership.firstListMillis ?: nowMillis
    return copy(membership = membership.copy(peers = marked, firstListMillis = first))
}

private fun newestOf(
    known: NodeRecord,
    listed: NodeRecord,
): NodeRecord = if (listed.incarnation >= known.incarnation) listed else known

/** Removes expired suspicions, and peers that have been unlisted and silent for [FORGET_AFTER_MILLIS]. */
internal fun NodeState.expireObservations(nowMillis: Long): NodeState {
    val oldestMillis = nowMillis - settings.membership.suspicionTtlMillis
    val expired = membership.suspicions.filterValues { it.observedAtMillis <= oldestMillis }.keys
    val removed =
        membership.peers.values.filter { view ->
            val silent = nowMillis - (view.lastHeardMillis ?: 0) > FORGET_AFTER_MILLIS
            silent && view.unlistedSinceMillis?.let { nowMillis - it > FORGET_AFTER_MILLIS } ?: false
        }
    if (expired.isEmpty() && removed.isEmpty()) return this
    return copy(
        membership =
            membership.copy(
                suspicions = expired.fold(membership.suspicions) { all, key -> all.remove(key) },
                peers = removed.fold(membership.peers) { all, view -> all.remove(view.record.node) },
            ),
    )
}

/** Clears the failure times of all peers. Used after a pause of this process, when probes failed through no fault of the peers. */
internal fun NodeState.resetProbeFailures(): NodeState {
    val failing = membership.peers.values.filter { it.failingSinceMillis != null }
    val peers = failing.fold(membership.peers) { all, view -> all.put(view.record.node, view.copy(failingSinceMillis = null)) }
    return copy(membership = membership.copy(peers = peers))
}
