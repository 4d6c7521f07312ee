package lavendertrail.membership

import lavendertrail.membership.OwnershipPhase.ACTIVE
import lavendertrail.membership.OwnershipPhase.CLAIMING
import lavendertrail.membership.OwnershipPhase.DRAINING
import lavendertrail.membership.OwnershipPhase.RECORDING
import lavendertrail.membership.OwnershipPhase.RECOVERING
import lavendertrail.membership.OwnershipPhase.RELEASING
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PartitionDraining
import lavendertrail.reducer.PartitionLost
import lavendertrail.reducer.ReadPartition
import lavendertrail.reducer.ShutdownReady
import lavendertrail.reducer.Step
import lavendertrail.reducer.SwapPartition

/** Retries ownership changes whose answer is overdue. Partitions in ACTIVE and DRAINING have none pending. */
internal fun NodeState.retryOwnership(nowMillis: Long): Step {
    val due = membership.owned.filter { (_, owned) -> owned.phase != ACTIVE && owned.phase != DRAINING && owned.retryAtMillis <= nowMillis }
    return due.entries.fold(Step(this)) { step, (partition, owned) -> step.then { retryPhase(partition, owned, nowMillis) } }
}

private fun NodeState.retryPhase(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val rescheduled = owned.copy(retryAtMillis = nowMillis + settings.membership.retryMillis)
    return when (owned.phase) {
        RECOVERING -> recoverPartition(partition, owned, nowMillis)
        // Reads the record back to learn whether the write took effect; onSwapEnded then decides.
        CLAIMING, RECORDING, RELEASING -> Step(withOwned(partition, rescheduled), listOf(ReadPartition(partition)))
        ACTIVE, DRAINING -> Step(this)
    }
}

/** Replaces dead journal nodes: recovers each affected partition at a higher epoch with a new copy. */
internal fun NodeState.moveJournals(nowMillis: Long): Step {
    if (membership.dead.isEmpty() || !membership.serviceReachable) return Step(this)
    val affected = membership.owned.filter { (partition, owned) -> owned.phase == ACTIVE && hasDeadJournalNode(partition) }.keys
    return affected.fold(Step(this)) { step, partition -> step.then { moveJournal(partition, nowMillis) } }
}

private fun NodeState.hasDeadJournalNode(partition: PartitionId): Boolean =
    membership.partitions[partition]
        ?.record
        ?.journalNodes
        .orEmpty()
        .any { it in membership.dead }

/** Recovers [partition] at a higher epoch on other journal nodes. Does nothing if no other set of journal nodes is available. */
internal fun NodeState.moveJournal(
    partition: PartitionId,
    nowMillis: Long,
    avoid: NodeId? = null,
): Step {
    val current =
        membership.partitions[partition]
            ?.record
            ?.journalNodes
            .orEmpty()
    val chosen = chooseJournalNodes(partition, current, avoid) ?: return Step(this)
    if (chosen == current || !membership.serviceReachable) return Step(this)
    val claimed = claimPartition(partition, nowMillis)
    val withAvoidedNode =
        claimed.state.membership.owned
            .getValue(partition)
            .copy(avoidJournalNode = avoid)
    return claimed.copy(
        state = claimed.state.withOwned(partition, withAvoidedNode),
        signals = listOf(PartitionLost(partition, "journal node lost")),
    )
}

/** Starts handing partitions over to their desired owners, a few at a time, once the set of live nodes has been stable. */
internal fun NodeState.rebalance(nowMillis: Long): Step {
    val stable = nowMillis - membership.liveChangedMillis >= settings.membership.rebalanceMillis
    if (!stable || membership.shuttingDown || !membership.serviceReachable) return Step(this)
    val moving = membership.owned.values.count { it.phase == DRAINING || it.phase == RELEASING }
    val misplaced =
        membership.owned
            .filter { (partition, owned) -> owned.phase == ACTIVE && membership.desired[partition].let { it != null && it != self.node } }
            .keys
            .take(maxOf(settings.membership.maxHandovers - moving, 0))
    return misplaced.fold(Step(this)) { step, partition -> step.then { drainPartition(partition, nowMillis) } }
}

internal fun NodeState.drainPartition(
    partition: PartitionId,
    nowMillis: Long,
): Step {
    val owned = membership.owned[partition]?.takeIf { it.phase == ACTIVE } ?: return Step(this)
    val draining = owned.copy(phase = DRAINING, sinceMillis = nowMillis)
    return Step(withOwned(partition, draining), signals = listOf(PartitionDraining(partition)))
}

/** Gives up the ownership of a partition that has no running calls. */
internal fun NodeState.releasePartition(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val entry = membership.partitions[partition] ?: return Step(this)
    val record = entry.record?.copy(ownerNode = null) ?: return Step(this)
    val releasing = owned.copy(phase = RELEASING, sinceMillis = nowMillis, retryAtMillis = nowMillis + settings.membership.retryMillis)
    return Step(withOwned(partition, releasing), listOf(SwapPartition(partition, entry.revision, record)))
}

/** Starts a graceful shutdown: stops claiming partitions, and drains and releases the owned ones. */
internal fun NodeState.startShutdown(nowMillis: Long): Step {
    if (membership.shuttingDown) return Step(this)
    val stopping = copy(membership = membership.copy(shuttingDown = true, shutdownSinceMillis = nowMillis))
    val unfinished = membership.owned.filterValues { it.phase == CLAIMING || it.phase == RECOVERING || it.phase == RECORDING }.keys
    val remaining = unfinished.fold(stopping) { state, partition -> state.withOwned(partition, null) }
    return remaining.membership.owned.keys
        .fold(Step(remaining)) { step, partition -> step.then { drainPartition(partition, nowMillis) } }
}

/** Emits [ShutdownReady] once, when the process may exit: all partitions are released, or `drainMillis` have passed. */
internal fun NodeState.reportShutdown(nowMillis: Long): Step {
    val since = membership.shutdownSinceMillis ?: return Step(this)
    val drained = membership.owned.isEmpty() || nowMillis - since >= settings.membership.drainMillis
    if (!drained || membership.shutdownReported) return Step(this)
    return Step(copy(membership = membership.copy(shutdownReported = true)), listOf(ShutdownReady))
}
