package lavendertrail.membership

import lavendertrail.membership.OwnershipPhase.ACTIVE
import lavendertrail.membership.OwnershipPhase.CLAIMING
import lavendertrail.membership.OwnershipPhase.DRAINING
import lavendertrail.membership.OwnershipPhase.RECORDING
import lavendertrail.membership.OwnershipPhase.RECOVERING
import lavendertrail.membership.OwnershipPhase.RELEASING
import lavendertrail.model.PartitionId
import lavendertrail.reducer.Effect
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.OfferHandover
import lavendertrail.reducer.PartitionAcquired
import lavendertrail.reducer.PartitionLost
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.ReadPartition
import lavendertrail.reducer.RecoverPartition
import lavendertrail.reducer.Step
import lavendertrail.reducer.SwapPartition

/** Phases in which a compare-and-swap is in flight. */
private val swappingPhases = setOf(CLAIMING, RECORDING, RELEASING)

internal fun NodeState.withOwned(
    partition: PartitionId,
    owned: OwnedPartition?,
): NodeState {
    val map = if (owned == null) membership.owned.remove(partition) else membership.owned.put(partition, owned)
    return copy(membership = membership.copy(owned = map))
}

internal fun NodeState.withEntry(
    partition: PartitionId,
    record: PartitionRecord?,
    revision: Long,
): NodeState {
    val known = membership.partitions[partition]
    if (known != null && known.revision > revision) return this
    return copy(membership = membership.copy(partitions = membership.partitions.put(partition, PartitionEntry(record, revision))))
}

/** Claims partitions that this node should own and that have no live owner, up to `maxSwapsInFlight` at a time. */
internal fun NodeState.claimPartitions(nowMillis: Long): Step {
    if (!mayClaim(nowMillis)) return Step(this)
    val freeSwaps = settings.membership.maxSwapsInFlight - membership.owned.values.count { it.phase in swappingPhases }
    val wanted =
        membership.desired.entries
            .asSequence()
            .filter { (partition, node) -> node == self.node && partition !in membership.owned }
            .map { it.key }
            .filter { isClaimable(it, nowMillis) }
            .take(maxOf(freeSwaps, 0))
            .toList()
    return wanted.fold(Step(this)) { step, partition -> step.then { claimPartition(partition, nowMillis) } }
}

private fun NodeState.mayClaim(nowMillis: Long): Boolean {
    val listedMillis = membership.firstListMillis ?: return false
    return !membership.shuttingDown && membership.serviceReachable && nowMillis - listedMillis >= settings.membership.startupSettleMillis
}

private fun NodeState.isClaimable(
    partition: PartitionId,
    nowMillis: Long,
): Boolean {
    val owner = membership.partitions[partition]?.record?.ownerNode ?: return true
    val listedMillis = membership.firstListMillis ?: return false
    return when {
        owner == self.node || owner in membership.dead -> true
        // A live node whose lease expired during an outage is listed again within this time.
        owner !in membership.peers -> nowMillis - listedMillis >= UNKNOWN_OWNER_SETTLE_PERIODS * settings.membership.startupSettleMillis
        else -> false
    }
}

/** Multiple of `startupSettleMillis` before a partition is claimed from an owner that is not a known peer. */
private const val UNKNOWN_OWNER_SETTLE_PERIODS = 3

/** Writes this node as the owner into the partition record, with the next higher epoch. */
internal fun NodeState.claimPartition(
    partition: PartitionId,
    nowMillis: Long,
): Step {
    val entry = membership.partitions[partition]
    val epoch = (entry?.record?.epoch ?: 0) + 1
    val record = PartitionRecord(epoch, self.node, self.incarnation, entry?.record?.journalNodes ?: emptyList())
    return Step(
        state = withOwned(partition, OwnedPartition(CLAIMING, epoch, nowMillis, nowMillis + settings.membership.retryMillis)),
        effects = listOf(SwapPartition(partition, entry?.revision ?: 0, record)),
    )
}

/** Handles the end of a compare-and-swap, and a record that was read, such as after a compare-and-swap whose answer was lost. */
internal fun NodeState.onSwapEnded(
    partition: PartitionId,
    record: PartitionRecord?,
    revision: Long,
    nowMillis: Long,
): Step {
    val state = withEntry(partition, record, revision)
    val owned = membership.owned[partition] ?: return Step(state)
    return when (owned.phase) {
        CLAIMING ->
            if (state.isRecordedOwner(owned, record)) {
                state.recoverPartition(partition, owned, nowMillis)
            } else {
                Step(state.withOwned(partition, null))
            }
        RECORDING -> state.onRecordingEnded(partition, owned, record, nowMillis)
        RELEASING ->
            if (state.isRecordedOwner(owned, record)) {
                state.retryRelease(partition, owned, nowMillis)
            } else {
                state.losePartition(partition, "released")
            }
        ACTIVE, DRAINING, RECOVERING ->
            if (state.isRecordedOwner(owned, record)) Step(state) else state.losePartition(partition, takeoverReason(record))
    }
}

private fun takeoverReason(record: PartitionRecord?): String = "taken over by ${record?.ownerNode} at epoch ${record?.epoch}"

private fun NodeState.isRecordedOwner(
    owned: OwnedPartition,
    record: PartitionRecord?,
): Boolean = record != null && record.ownerNode == self.node && record.ownerIncarnation == self.incarnation && record.epoch == owned.epoch

private fun NodeState.hasRecordedJournalNodes(
    owned: OwnedPartition,
    record: PartitionRecord?,
): Boolean = isRecordedOwner(owned, record) && record?.journalNodes == owned.recovered?.journalNodes

/** Activates the partition once its record names the journal nodes, and repeats an overdue write that has not taken effect. */
private fun NodeState.onRecordingEnded(
    partition: PartitionId,
    owned: OwnedPartition,
    record: PartitionRecord?,
    nowMillis: Long,
): Step =
    when {
        hasRecordedJournalNodes(owned, record) -> activatePartition(partition, owned, nowMillis)
        !isRecordedOwner(owned, record) -> losePartition(partition, takeoverReason(record))
        isOverdue(owned, nowMillis) -> recordJournalNodes(partition, owned, nowMillis)
        else -> Step(this)
    }

private fun NodeState.retryRelease(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step = if (isOverdue(owned, nowMillis)) releasePartition(partition, owned, nowMillis) else Step(this)

private fun NodeState.isOverdue(
    owned: OwnedPartition,
    nowMillis: Long,
): Boolean = nowMillis - owned.sinceMillis >= settings.membership.retryMillis

/** Starts the recovery of the journal: seals and reads it, replacing recorded journal nodes that are dead. */
internal fun NodeState.recoverPartition(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val current =
        membership.partitions[partition]
            ?.record
            ?.journalNodes
            .orEmpty()
    val waiting = owned.copy(phase = RECOVERING, sinceMillis = nowMillis, retryAtMillis = nowMillis + settings.membership.retryMillis)
    val chosen =
        chooseJournalNodes(partition, current, owned.avoidJournalNode)
            ?: chooseJournalNodes(partition, current)
            ?: return Step(withOwned(partition, waiting))
    return Step(
        state = withOwned(partition, waiting.copy(retryAtMillis = Long.MAX_VALUE)),
        effects = listOf(RecoverPartition(partition, owned.epoch, current, chosen)),
    )
}

internal fun NodeState.onRecovered(
    event: PartitionRecovered,
    nowMillis: Long,
): Step {
    val owned = membership.owned[event.partition]?.takeIf { it.phase == RECOVERING && it.epoch == event.epoch } ?: return Step(this)
    val entry = membership.partitions[event.partition] ?: return Step(this)
    val recoveredPartition = owned.copy(recovered = RecoveredJournal(event.journalNodes, event.records))
    if (entry.record?.journalNodes == event.journalNodes) return activatePartition(event.partition, recoveredPartition, nowMillis)
    return recordJournalNodes(event.partition, recoveredPartition, nowMillis)
}

/** Writes the journal nodes into the partition record. Must succeed before any append on them is acknowledged. */
internal fun NodeState.recordJournalNodes(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val entry = membership.partitions[partition]
    val journalNodes = owned.recovered?.journalNodes.orEmpty()
    val recording = owned.copy(phase = RECORDING, sinceMillis = nowMillis, retryAtMillis = nowMillis + settings.membership.retryMillis)
    return Step(
        state = withOwned(partition, recording),
        effects =
            listOf(
                SwapPartition(
                    partition = partition,
                    expectedRevision = entry?.revision ?: 0,
                    record = PartitionRecord(owned.epoch, self.node, self.incarnation, journalNodes),
                ),
            ),
    )
}

private fun NodeState.activatePartition(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val records = owned.recovered?.records.orEmpty()
    val active = OwnedPartition(ACTIVE, owned.epoch, nowMillis)
    return Step(withOwned(partition, active), signals = listOf(PartitionAcquired(partition, owned.epoch, records)))
}

internal fun NodeState.losePartition(
    partition: PartitionId,
    reason: String,
): Step {
    val owned = membership.owned[partition] ?: return Step(this)
    val offers = if (owned.phase == RELEASING) handoverOffer(partition) else emptyList()
    val wasAcquired = owned.phase == ACTIVE || owned.phase == DRAINING || owned.phase == RELEASING
    return Step(
        state = withOwned(partition, null),
        effects = offers,
        signals = if (wasAcquired) listOf(PartitionLost(partition, reason)) else emptyList(),
    )
}

private fun NodeState.handoverOffer(partition: PartitionId): List<Effect> =
    listOfNotNull(membership.desired[partition]?.takeIf { it != self.node }?.let { OfferHandover(it, listOf(partition)) })

/** Gives up a partition whose journal rejected this node's epoch: another owner has sealed it. */
internal fun NodeState.loseFencedPartition(partition: PartitionId): Step {
    val lost = losePartition(partition, "journal sealed at a higher epoch")
    return lost.copy(effects = lost.effects + ReadPartition(partition))
}

/** Applies [next] to the resulting state and concatenates the effects and signals of both steps. */
internal fun Step.then(next: NodeState.() -> Step): Step {
    val following = state.next()
    return Step(following.state, effects + following.effects, signals + following.signals)
}
