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

/** Repeats what has had no answer in time. Only partitions in a passing phase are looked at. */
internal fun NodeState.retryOwnership(nowMillis: Long): Step {
    val due = membership.owned.filter { (_, owned) -> owned.phase != ACTIVE && owned.phase != DRAINING && owned.retryAtMillis <= nowMillis }
    return due.entries.fold(Step(this)) { step, (partition, owned) -> step.then { retry(partition, owned, nowMillis) } }
}

private fun NodeState.retry(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val later = owned.copy(retryAtMillis = nowMillis + settings.membership.retryMillis)
    return when (owned.phase) {
        RECOVERING -> recover(partition, owned, nowMillis)
        // Whether the write took effect is read back; swapEnded then decides.
        CLAIMING, RECORDING, RELEASING -> Step(withOwned(partition, later), listOf(ReadPartition(partition)))
        ACTIVE, DRAINING -> Step(this)
    }
}

/** Moves journals away from dead nodes: the partition is recovered at a higher epoch, with a new copy. */
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

/** Does nothing while no other set of journal nodes is available. */
internal fun NodeState.moveJournal(
    partition: PartitionId,
    nowMillis: Long,
    avoid: NodeId? = null,
): Step {
    val present =
        membership.partitions[partition]
            ?.record
            ?.journalNodes
            .orEmpty()
    val chosen = chooseJournalNodes(partition, present, avoid) ?: return Step(this)
    if (chosen == present || !membership.serviceReachable) return Step(this)
    val claimed = claim(partition, nowMillis)
    val avoiding =
        claimed.state.membership.owned
            .getValue(partition)
            .copy(avoidJournalNode = avoid)
    return claimed.copy(
        state = claimed.state.withOwned(partition, avoiding),
        signals = listOf(PartitionLost(partition, "journal node lost")),
    )
}

/** Hands partitions to the nodes that should own them, a few at a time, once the set of live nodes has been stable. */
internal fun NodeState.rebalance(nowMillis: Long): Step {
    val stable = nowMillis - membership.liveChangedMillis >= settings.membership.rebalanceMillis
    if (!stable || membership.shuttingDown || !membership.serviceReachable) return Step(this)
    val moving = membership.owned.values.count { it.phase == DRAINING || it.phase == RELEASING }
    val misplaced =
        membership.owned
            .filter { (partition, owned) -> owned.phase == ACTIVE && membership.desired[partition].let { it != null && it != self.node } }
            .keys
            .take(maxOf(settings.membership.maxHandovers - moving, 0))
    return misplaced.fold(Step(this)) { step, partition -> step.then { drain(partition, nowMillis) } }
}

internal fun NodeState.drain(
    partition: PartitionId,
    nowMillis: Long,
): Step {
    val owned = membership.owned[partition]?.takeIf { it.phase == ACTIVE } ?: return Step(this)
    val draining = owned.copy(phase = DRAINING, sinceMillis = nowMillis)
    return Step(withOwned(partition, draining), signals = listOf(PartitionDraining(partition)))
}

/** Gives up the ownership of a partition in which nothing runs. */
internal fun NodeState.release(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val entry = membership.partitions[partition] ?: return Step(this)
    val record = entry.record?.copy(ownerNode = null) ?: return Step(this)
    val releasing = owned.copy(phase = RELEASING, sinceMillis = nowMillis, retryAtMillis = nowMillis + settings.membership.retryMillis)
    return Step(withOwned(partition, releasing), listOf(SwapPartition(partition, entry.revision, record)))
}

/** Starts the orderly stop: no partition is claimed any more, and the owned ones are drained and released. */
internal fun NodeState.shutDown(nowMillis: Long): Step {
    if (membership.shuttingDown) return Step(this)
    val stopping = copy(membership = membership.copy(shuttingDown = true, shutdownSinceMillis = nowMillis))
    val passing = membership.owned.filterValues { it.phase == CLAIMING || it.phase == RECOVERING || it.phase == RECORDING }.keys
    val kept = passing.fold(stopping) { state, partition -> state.withOwned(partition, null) }
    return kept.membership.owned.keys
        .fold(Step(kept)) { step, partition -> step.then { drain(partition, nowMillis) } }
}

/** Reports once that the process may exit: nothing is owned any more, or the drain limit has passed. */
internal fun NodeState.reportShutdown(nowMillis: Long): Step {
    val since = membership.shutdownSinceMillis ?: return Step(this)
    val drained = membership.owned.isEmpty() || nowMillis - since >= settings.membership.drainMillis
    if (!drained || membership.shutdownReported) return Step(this)
    return Step(copy(membership = membership.copy(shutdownReported = true)), listOf(ShutdownReady))
}
