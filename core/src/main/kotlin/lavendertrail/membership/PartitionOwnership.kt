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

/** Phases in which a compare-and-swap is under way. */
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

/** Claims the partitions that should be this node's and have no live owner, as many at a time as the settings allow. */
internal fun NodeState.claimPartitions(nowMillis: Long): Step {
    if (!mayClaim(nowMillis)) return Step(this)
    val free = settings.membership.maxSwapsInFlight - membership.owned.values.count { it.phase in swappingPhases }
    val wanted =
        membership.desired.entries
            .asSequence()
            .filter { (partition, node) -> node == self.node && partition !in membership.owned }
            .map { it.key }
            .filter { isTakeable(it, nowMillis) }
            .take(maxOf(free, 0))
            .toList()
    return wanted.fold(Step(this)) { step, partition -> step.then { claim(partition, nowMillis) } }
}

private fun NodeState.mayClaim(nowMillis: Long): Boolean {
    val listedMillis = membership.firstListedMillis ?: return false
    return !membership.shuttingDown && membership.serviceReachable && nowMillis - listedMillis >= settings.membership.startupSettleMillis
}

private fun NodeState.isTakeable(
    partition: PartitionId,
    nowMillis: Long,
): Boolean {
    val owner = membership.partitions[partition]?.record?.ownerNode ?: return true
    val listedMillis = membership.firstListedMillis ?: return false
    return when {
        owner == self.node || owner in membership.dead -> true
        // Nodes that are alive but whose lease lapsed in an outage are listed again before this time has passed.
        owner !in membership.peers -> nowMillis - listedMillis >= UNKNOWN_OWNER_SETTLES * settings.membership.startupSettleMillis
        else -> false
    }
}

private const val UNKNOWN_OWNER_SETTLES = 3

/** Writes this node into the partition record, with a higher epoch. */
internal fun NodeState.claim(
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

/** A compare-and-swap ended, or the record was read after one whose answer was lost. */
internal fun NodeState.swapEnded(
    partition: PartitionId,
    record: PartitionRecord?,
    revision: Long,
    nowMillis: Long,
): Step {
    val state = withEntry(partition, record, revision)
    val owned = membership.owned[partition] ?: return Step(state)
    return when (owned.phase) {
        CLAIMING -> if (state.holds(owned, record)) state.recover(partition, owned, nowMillis) else Step(state.withOwned(partition, null))
        RECORDING -> state.recordingEnded(partition, owned, record, nowMillis)
        RELEASING -> if (state.holds(owned, record)) state.releaseAgain(partition, owned, nowMillis) else state.lose(partition, "released")
        ACTIVE, DRAINING, RECOVERING -> if (state.holds(owned, record)) Step(state) else state.lose(partition, takenOver(record))
    }
}

private fun takenOver(record: PartitionRecord?): String = "taken over by ${record?.ownerNode} at epoch ${record?.epoch}"

private fun NodeState.holds(
    owned: OwnedPartition,
    record: PartitionRecord?,
): Boolean = record != null && record.ownerNode == self.node && record.ownerIncarnation == self.incarnation && record.epoch == owned.epoch

private fun NodeState.hasRecorded(
    owned: OwnedPartition,
    record: PartitionRecord?,
): Boolean = holds(owned, record) && record?.journalNodes == owned.recovered?.journalNodes

/** Where the record lacks the journal nodes although their write is overdue, the write is repeated. */
private fun NodeState.recordingEnded(
    partition: PartitionId,
    owned: OwnedPartition,
    record: PartitionRecord?,
    nowMillis: Long,
): Step =
    when {
        hasRecorded(owned, record) -> activate(partition, owned, nowMillis)
        !holds(owned, record) -> lose(partition, takenOver(record))
        isOverdue(owned, nowMillis) -> record(partition, owned, nowMillis)
        else -> Step(this)
    }

private fun NodeState.releaseAgain(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step = if (isOverdue(owned, nowMillis)) release(partition, owned, nowMillis) else Step(this)

private fun NodeState.isOverdue(
    owned: OwnedPartition,
    nowMillis: Long,
): Boolean = nowMillis - owned.sinceMillis >= settings.membership.retryMillis

/** Seals and reads the journal, on nodes chosen anew where one of the recorded ones is dead. */
internal fun NodeState.recover(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val present =
        membership.partitions[partition]
            ?.record
            ?.journalNodes
            .orEmpty()
    val waiting = owned.copy(phase = RECOVERING, sinceMillis = nowMillis, retryAtMillis = nowMillis + settings.membership.retryMillis)
    val chosen =
        chooseJournalNodes(partition, present, owned.avoidJournalNode)
            ?: chooseJournalNodes(partition, present)
            ?: return Step(withOwned(partition, waiting))
    return Step(
        state = withOwned(partition, waiting.copy(retryAtMillis = Long.MAX_VALUE)),
        effects = listOf(RecoverPartition(partition, owned.epoch, present, chosen)),
    )
}

internal fun NodeState.recovered(
    event: PartitionRecovered,
    nowMillis: Long,
): Step {
    val owned = membership.owned[event.partition]?.takeIf { it.phase == RECOVERING && it.epoch == event.epoch } ?: return Step(this)
    val entry = membership.partitions[event.partition] ?: return Step(this)
    val held = owned.copy(recovered = RecoveredJournal(event.journalNodes, event.records))
    if (entry.record?.journalNodes == event.journalNodes) return activate(event.partition, held, nowMillis)
    return record(event.partition, held, nowMillis)
}

/** Writes the journal nodes into the partition record, before anything is acknowledged on them. */
internal fun NodeState.record(
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

private fun NodeState.activate(
    partition: PartitionId,
    owned: OwnedPartition,
    nowMillis: Long,
): Step {
    val records = owned.recovered?.records.orEmpty()
    val active = OwnedPartition(ACTIVE, owned.epoch, nowMillis)
    return Step(withOwned(partition, active), signals = listOf(PartitionAcquired(partition, owned.epoch, records)))
}

internal fun NodeState.lose(
    partition: PartitionId,
    reason: String,
): Step {
    val owned = membership.owned[partition] ?: return Step(this)
    val offers = if (owned.phase == RELEASING) offerTo(partition) else emptyList()
    val known = owned.phase == ACTIVE || owned.phase == DRAINING || owned.phase == RELEASING
    return Step(
        state = withOwned(partition, null),
        effects = offers,
        signals = if (known) listOf(PartitionLost(partition, reason)) else emptyList(),
    )
}

private fun NodeState.offerTo(partition: PartitionId): List<Effect> =
    listOfNotNull(membership.desired[partition]?.takeIf { it != self.node }?.let { OfferHandover(it, listOf(partition)) })

/** The journal rejected this node's epoch, so another owner has sealed it. */
internal fun NodeState.fenced(partition: PartitionId): Step {
    val lost = lose(partition, "journal sealed at a higher epoch")
    return lost.copy(effects = lost.effects + ReadPartition(partition))
}

/** Runs [next] on the state of this step and joins what both ask for. */
internal fun Step.then(next: NodeState.() -> Step): Step {
    val following = state.next()
    return Step(following.state, effects + following.effects, signals + following.signals)
}
