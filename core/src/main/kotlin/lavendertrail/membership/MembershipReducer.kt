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
 * Failure detection and ownership of partitions.
 *
 * Failure detection only decides when to try a takeover. That a former owner can do no harm rests on the epoch in the
 * partition record and on the journal, which rejects appends of a lower epoch.
 */
internal fun reduceMembership(
    state: NodeState,
    timed: TimedEvent,
): Step {
    val nowMillis = timed.nowMillis
    return when (val event = timed.event) {
        is Tick -> state.tick(timed)
        is ProbeReceived -> Step(state.heardFrom(event.message, answered = false, nowMillis))
        is ProbeAnswered -> Step(state.heardFrom(event.message, answered = true, nowMillis))
        is ProbeFailed -> Step(state.probeFailed(event.peer, nowMillis))
        is NodeRecordsRead -> Step(state.listed(event.nodes, nowMillis))
        is ServiceReachability -> Step(state.copy(membership = state.membership.copy(serviceReachable = event.reachable)))
        is PartitionRecordRead -> state.recordRead(event, nowMillis)
        is PartitionSwapEnded -> state.swapEnded(event.partition, event.record, event.revision, nowMillis)
        is PartitionSwapFailed -> Step(state.retryLater(event.partition, nowMillis))
        is PartitionRecovered -> state.recovered(event, nowMillis)
        is PartitionRecoveryFailed -> state.recoveryFailed(event, nowMillis)
        is HistoryAppendFailed -> state.appendFailed(event, nowMillis)
        is PartitionDrained -> state.drained(event.partition, nowMillis)
        is HandoverOffered -> Step(state, event.partitions.map(::ReadPartition))
        is ShutdownRequested -> state.shutDown(nowMillis)
        else -> Step(state)
    }
}

private fun NodeState.tick(timed: TimedEvent): Step {
    val nowMillis = timed.nowMillis
    val observed = afterPause(nowMillis).expireObservations(nowMillis).updateLiveness(nowMillis)
    return observed
        .sendProbes(timed)
        .then { retryOwnership(nowMillis) }
        .then { moveJournals(nowMillis) }
        .then { claimPartitions(nowMillis) }
        .then { rebalance(nowMillis) }
        .then { reportShutdown(nowMillis) }
}

private fun NodeState.afterPause(nowMillis: Long): NodeState {
    val pausedMillis = nowMillis - (membership.lastTickMillis ?: nowMillis)
    val state = if (pausedMillis >= settings.membership.suspectAfterMillis) forgetFailures() else this
    return state.copy(membership = state.membership.copy(lastTickMillis = nowMillis))
}

/** A lost failure domain is noticed node by node; without this interval each of them would reassign all partitions. */
private const val LIVENESS_INTERVAL_MILLIS = 200L

/** Recomputes who is alive, and who should own what where that changed. */
private fun NodeState.updateLiveness(nowMillis: Long): NodeState {
    val updated = copy(membership = membership.copy(dead = computeDead(nowMillis)))
    if (nowMillis < membership.liveChangedMillis + LIVENESS_INTERVAL_MILLIS) return updated
    val live = updated.computeLive()
    if (live == membership.live) return updated
    val desired = desiredOwners(settings.membership.regionPartitions, live)
    return updated.copy(membership = updated.membership.copy(live = live, desired = desired, liveChangedMillis = nowMillis))
}

private fun NodeState.sendProbes(timed: TimedEvent): Step {
    val news = newlyDeadHeirs()
    val due = timed.nowMillis >= membership.nextProbeMillis
    if (!due && news.isEmpty()) return Step(this)
    val targets = if (due) probeTargets(Random(timed.seed)) + news else news
    val message = probeMessage(timed.nowMillis)
    val nextMillis = if (due) timed.nowMillis + settings.membership.probeMillis else membership.nextProbeMillis
    return Step(
        state = copy(membership = membership.copy(nextProbeMillis = nextMillis, announcedDead = membership.dead)),
        effects = targets.distinct().filter { it in membership.peers }.map { SendProbe(it, message) },
    )
}

/** Nodes that should take over from a node just found dead; they are told at once, because random probes would take seconds. */
private fun NodeState.newlyDeadHeirs(): List<NodeId> {
    val news = membership.dead - membership.announcedDead
    if (news.isEmpty()) return emptyList()
    return membership.partitions
        .filterValues { it.record?.ownerNode in news }
        .keys
        .mapNotNull { membership.desired[it] }
        .distinct()
        .filter { it != self.node }
}

private fun NodeState.recordRead(
    event: PartitionRecordRead,
    nowMillis: Long,
): Step {
    val known = membership.partitions[event.partition]
    val stale = known != null && known.revision > event.revision
    val deleted = event.record == null && event.partition in membership.owned
    if (stale || deleted) return Step(this)
    return swapEnded(event.partition, event.record, event.revision, nowMillis)
}

private fun NodeState.retryLater(
    partition: PartitionId,
    nowMillis: Long,
): NodeState {
    val owned = membership.owned[partition] ?: return this
    return withOwned(partition, owned.copy(retryAtMillis = nowMillis + settings.membership.retryMillis))
}

private fun NodeState.recoveryFailed(
    event: PartitionRecoveryFailed,
    nowMillis: Long,
): Step {
    val owned = membership.owned[event.partition]?.takeIf { it.phase == RECOVERING && it.epoch == event.epoch } ?: return Step(this)
    val retry = owned.copy(retryAtMillis = nowMillis + settings.membership.retryMillis, avoidJournalNode = event.journalNode)
    return Step(withOwned(event.partition, retry))
}

private fun NodeState.appendFailed(
    event: HistoryAppendFailed,
    nowMillis: Long,
): Step {
    val owned = membership.owned[event.partition]?.takeIf { it.epoch == event.epoch } ?: return Step(this)
    return when {
        event.fenced -> fenced(event.partition)
        owned.isActive -> moveJournal(event.partition, nowMillis, avoid = event.journalNode)
        else -> Step(this)
    }
}

private fun NodeState.drained(
    partition: PartitionId,
    nowMillis: Long,
): Step {
    val owned = membership.owned[partition]?.takeIf { it.phase == DRAINING } ?: return Step(this)
    return release(partition, owned, nowMillis)
}
