package lavendertrail.membership

import lavendertrail.membership.OwnershipPhase.DRAINING
import lavendertrail.membership.OwnershipPhase.RECOVERING
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.HandoverOffered
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.NodeRecordsRead
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PartitionDrained
import lavendertrail.reducer.PartitionRecordRead
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.PartitionRecoveryFailed
import lavendertrail.reducer.PartitionSwapEnded
import lavendertrail.reducer.PartitionSwapFailed
import lavendertrail.reducer.ProbeAnswered
import lavendertrail.reducer.ProbeFailed
import lavendertrail.reducer.ProbeReceived
import lavendertrail.reducer.ReadPartition
import lavendertrail.reducer.SendProbe
import lavendertrail.reducer.ServiceReachability
import lavendertrail.reducer.ShutdownRequested
import lavendertrail.reducer.Step
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent
import kotlin.random.Random

/**
 * Reduces events of failure detection and partition ownership.
 *
 * Failure detection only decides when to attempt a takeover. Safety against a former owner that is still running comes
 * from the epoch in the partition record and from the journal, which rejects appends with a lower epoch.
 */
internal fun reduceMembership(
    state: NodeState,
    timed: TimedEvent,
): Step {
    val nowMillis = timed.nowMillis
    return when (val event = timed.event) {
        is Tick -> state.onTick(timed)
        is ProbeReceived -> Step(state.mergeProbeMessage(event.message, answered = false, nowMillis))
        is ProbeAnswered -> Step(state.mergeProbeMessage(event.message, answered = true, nowMillis))
        is ProbeFailed -> Step(state.recordProbeFailure(event.peer, nowMillis))
        is NodeRecordsRead -> Step(state.mergeNodeRecords(event.nodes, nowMillis))
        is ServiceReachability -> Step(state.copy(membership = state.membership.copy(serviceReachable = event.reachable)))
        is PartitionRecordRead -> state.onRecordRead(event, nowMillis)
        is PartitionSwapEnded -> state.onSwapEnded(event.partition, event.record, event.revision, nowMillis)
        is PartitionSwapFailed -> Step(state.scheduleRetry(event.partition, nowMillis))
        is PartitionRecovered -> state.onRecovered(event, nowMillis)
        is PartitionRecoveryFailed -> state.onRecoveryFailed(event, nowMillis)
        is HistoryAppendFailed -> state.onAppendFailed(event, nowMillis)
        is PartitionDrained -> state.onDrained(event.partition, nowMillis)
        is HandoverOffered -> Step(state, event.partitions.map(::ReadPartition))
        is ShutdownRequested -> state.startShutdown(nowMillis)
        else -> Step(state)
    }
}

private fun NodeState.onTick(timed: TimedEvent): Step {
    val nowMillis = timed.nowMillis
    val observed = resetFailuresAfterPause(nowMillis).expireObservations(nowMillis).updateLiveness(nowMillis)
    return observed
        .sendProbes(timed)
        .then { retryOwnership(nowMillis) }
        .then { moveJournals(nowMillis) }
        .then { claimPartitions(nowMillis) }
        .then { rebalance(nowMillis) }
        .then { reportShutdown(nowMillis) }
}

private fun NodeState.resetFailuresAfterPause(nowMillis: Long): NodeState {
    val pausedMillis = nowMillis - (membership.lastTickMillis ?: nowMillis)
    val state = if (pausedMillis >= settings.membership.suspectAfterMillis) resetProbeFailures() else this
    return state.copy(membership = state.membership.copy(lastTickMillis = nowMillis))
}

/**
 * Minimum time between two changes of the live set. The nodes of a lost failure domain are detected one after the other;
 * without this interval, each detection would reassign all partitions.
 */
private const val LIVENESS_INTERVAL_MILLIS = 200L

/** Recomputes the dead and live nodes and, if the live set has changed, the desired owners. */
private fun NodeState.updateLiveness(nowMillis: Long): NodeState {
    val updated = copy(membership = membership.copy(dead = computeDeadNodes(nowMillis)))
    if (nowMillis < membership.liveChangedMillis + LIVENESS_INTERVAL_MILLIS) return updated
    val live = updated.computeLiveNodes()
    if (live == membership.live) return updated
    val desired = desiredOwners(settings.membership.regionPartitions, live)
    return updated.copy(membership = updated.membership.copy(live = live, desired = desired, liveChangedMillis = nowMillis))
}

private fun NodeState.sendProbes(timed: TimedEvent): Step {
    val successors = successorsOfNewlyDead()
    val due = timed.nowMillis >= membership.nextProbeMillis
    if (!due && successors.isEmpty()) return Step(this)
    val targets = if (due) probeTargets(Random(timed.seed)) + successors else successors
    val message = probeMessage(timed.nowMillis)
    val nextMillis = if (due) timed.nowMillis + settings.membership.probeMillis else membership.nextProbeMillis
    return Step(
        state = copy(membership = membership.copy(nextProbeMillis = nextMillis, announcedDead = membership.dead)),
        effects = targets.distinct().filter { it in membership.peers }.map { SendProbe(it, message) },
    )
}

/** Returns the desired owners of partitions whose owner was just found dead. They are probed at once; random probes would take seconds. */
private fun NodeState.successorsOfNewlyDead(): List<NodeId> {
    val newlyDead = membership.dead - membership.announcedDead
    if (newlyDead.isEmpty()) return emptyList()
    return membership.partitions
        .filterValues { it.record?.ownerNode in newlyDead }
        .keys
        .mapNotNull { membership.desired[it] }
        .distinct()
        .filter { it != self.node }
}

private fun NodeState.onRecordRead(
    event: PartitionRecordRead,
    nowMillis: Long,
): Step {
    val known = membership.partitions[event.partition]
    val stale = known != null && known.revision > event.revision
    val deleted = event.record == null && event.partition in membership.owned
    if (stale || deleted) return Step(this)
    return onSwapEnded(event.partition, event.record, event.revision, nowMillis)
}

private fun NodeState.scheduleRetry(
    partition: PartitionId,
    nowMillis: Long,
): NodeState {
    val owned = membership.owned[partition] ?: return this
    return withOwned(partition, owned.copy(retryAtMillis = nowMillis + settings.membership.retryMillis))
}

private fun NodeState.onRecoveryFailed(
    event: PartitionRecoveryFailed,
    nowMillis: Long,
): Step {
    val owned = membership.owned[event.partition]?.takeIf { it.phase == RECOVERING && it.epoch == event.epoch } ?: return Step(this)
    val retry = owned.copy(retryAtMillis = nowMillis + settings.membership.retryMillis, avoidJournalNode = event.journalNode)
    return Step(withOwned(event.partition, retry))
}

private fun NodeState.onAppendFailed(
    event: HistoryAppendFailed,
    nowMillis: Long,
): Step {
    val owned = membership.owned[event.partition]?.takeIf { it.epoch == event.epoch } ?: return Step(this)
    return when {
        event.fenced -> loseFencedPartition(event.partition)
        owned.isActive -> moveJournal(event.partition, nowMillis, avoid = event.journalNode)
        else -> Step(this)
    }
}

private fun NodeState.onDrained(
    partition: PartitionId,
    nowMillis: Long,
): Step {
    val owned = membership.owned[partition]?.takeIf { it.phase == DRAINING } ?: return Step(this)
    return releasePartition(partition, owned, nowMillis)
}
