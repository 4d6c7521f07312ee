package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.computedHash
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.HistoryAppended
import lavendertrail.reducer.PartitionAcquired
import lavendertrail.reducer.PartitionDrained
import lavendertrail.reducer.PartitionLost
import lavendertrail.reducer.ProgramGone

/**
 * An acknowledgement also covers all earlier appends of the partition: a journal copy accepts entries only without gaps, so a
 * copy that has a later append has the earlier ones. A lost or late acknowledgement is therefore harmless.
 */
internal fun ProgramWork.onAppended(event: HistoryAppended) {
    val partition = state.partitions[event.partition]?.takeIf { it.epoch == event.epoch } ?: return
    val done = partition.pending.takeWhile { it.appendId <= event.appendId }
    if (done.isEmpty()) return
    updatePartition(event.partition) { it.copy(pending = it.pending.removeAll(done), appendFailure = null) }
    done.forEach { append -> append.acknowledgements.forEach(::onAcknowledged) }
    checkDrained(event.partition)
}

private fun ProgramWork.onAcknowledged(acknowledgement: Acknowledgement) {
    val openCall = program(acknowledgement.program)?.openCall
    val followers = openCall?.key?.let { program(acknowledgement.program.root)?.keys?.get(digestOf(it))?.followers }.orEmpty()
    state = state.acknowledge(acknowledgement, nowMillis, settings)
    when (acknowledgement) {
        is Acknowledgement.Opened -> onProgramOpened(acknowledgement.program)
        is Acknowledgement.Started -> onCallStarted(acknowledgement.call)
        is Acknowledgement.Finished -> onCallFinished(acknowledgement.call, openCall, followers)
        is Acknowledgement.Settled -> onCallSettled(acknowledgement)
        is Acknowledgement.Ended -> onProgramEnded(acknowledgement.program)
        is Acknowledgement.ChildOpened -> Unit
    }
}

/**
 * If the append was fenced, another node owns the partition. Otherwise the journal client keeps retrying the append, which
 * may already be on one copy: requests that wait for it stay unanswered, and only new calls are refused.
 */
internal fun ProgramWork.onAppendFailed(event: HistoryAppendFailed) {
    val partition = state.partitions[event.partition]?.takeIf { it.epoch == event.epoch } ?: return
    if (event.fenced) {
        dropPartition(event.partition, "the journal is sealed by another owner: ${event.message}")
        signals += PartitionLost(event.partition, event.message)
    } else if (partition.pending.any { it.appendId == event.appendId }) {
        updatePartition(event.partition) { it.copy(appendFailure = "journal append failed: ${event.message}") }
    }
}

/** Drops a partition's programs from memory and refuses the requests that wait for them. */
internal fun ProgramWork.dropPartition(
    id: PartitionId,
    reason: String,
) {
    val partition = state.partitions[id] ?: return
    val programs = partition.programs.sortedBy { it.value }.mapNotNull(::program)
    for (program in programs) {
        refuseAllRequests(program, reason)
        if (!program.endDurable) signals += ProgramGone(program.id, moved = true)
    }
    val settling = partition.pending.flatMap { it.acknowledgements }.filterIsInstance<Acknowledgement.Settled>()
    settling.forEach { settled -> settled.requestId?.let { refuse(it, partitionLostRefusal(RunOutcome.MAY_HAVE_RUN, reason)) } }
    discardRecords(id)
    state =
        state.copy(
            partitions = state.partitions.remove(id),
            programs = programs.fold(state.programs) { map, program -> map.remove(program.id) },
        )
}

/**
 * A buffered call was not run. A call whose `CallStarted` was passed to the journal may be found and run by the next owner,
 * even if the append is not acknowledged.
 */
private fun ProgramWork.refuseAllRequests(
    program: Program,
    reason: String,
) {
    val retryAfterMillis = settings.retryAfterMillis
    program.waiting.values.sortedBy { it.request.call.position }.forEach { waiting ->
        refuseWaitingCall(program.id, waiting, notStartedRefusal(waiting.request, RefusalReason.NOT_OWNER, reason, retryAfterMillis))
    }
    program.openCall?.let { entry ->
        val refused = CallResult.Refused(partitionLostRefusal(RunOutcome.MAY_HAVE_RUN, reason))
        entry.waiters.forEach { answer(it, CallId(program.id, entry.position), refused) }
    }
    val requests = program.openRequestIds + program.ending?.requestIds.orEmpty()
    requests.forEach { refuse(it, partitionLostRefusal(RunOutcome.NOT_RUN, reason)) }
}

private fun ProgramWork.partitionLostRefusal(
    outcome: RunOutcome,
    reason: String,
): Refusal = refusal(outcome, RefusalReason.NOT_OWNER, reason, "partition handover", settings.retryAfterMillis)

/** Refuses new and buffered calls from now on; running calls continue. */
internal fun ProgramWork.drainPartition(id: PartitionId) {
    val partition = state.partitions[id] ?: return
    if (partition.draining) return
    updatePartition(id) { it.copy(draining = true) }
    for (program in partition.programs.sortedBy { it.value }.mapNotNull(::program)) {
        program.waiting.values.sortedBy { it.request.call.position }.forEach { waiting ->
            refuseWaitingCall(program.id, waiting, handoverRefusal(waiting.request))
        }
    }
    checkDrained(id)
}

internal fun ProgramWork.checkDrained(id: PartitionId) {
    val partition = state.partitions[id] ?: return
    if (!partition.draining || partition.drained || partition.openCalls > 0) return
    if (partition.pending.isNotEmpty() || hasRecords(id)) return
    updatePartition(id) { it.copy(drained = true) }
    signals += PartitionDrained(id)
}

/** Rebuilds a partition from its journal and recovers the calls that a former owner left open. */
internal fun ProgramWork.acquirePartition(event: PartitionAcquired) {
    val held = state.partitions[event.partition]
    if (held != null && held.epoch >= event.epoch) return
    dropPartition(event.partition, "the journal moved in epoch ${event.epoch}")
    state = state.copy(partitions = state.partitions.put(event.partition, PartitionPrograms(event.epoch)))
    event.records.forEach(::replay)
    val programs = checkNotNull(state.partitions[event.partition]).programs.sortedBy { it.value }
    programs.forEach(::addReplayedTimers)
    programs.forEach(::recoverOpenCall)
}

/** Verifies and folds a record of the journal. A program whose hash chain is broken is marked as damaged. */
private fun ProgramWork.replay(record: HistoryRecord) {
    val program = program(record.program)
    val last = program?.lastRecord
    val damaged = partition(record.program)?.damaged.orEmpty()
    val damage = damageOf(record, program)
    when {
        record.program in damaged -> Unit
        last != null && record.sequence == last.sequence && record.hash == last.hash -> Unit
        damage != null -> markDamaged(record.program, damage)
        else -> foldVerified(record)
    }
}

private fun ProgramWork.foldVerified(record: HistoryRecord) {
    state = state.fold(record, settings)
    state = state.acknowledge(acknowledgementOf(record), record.atMillis, settings)
}

private fun ProgramWork.damageOf(
    record: HistoryRecord,
    program: Program?,
): String? {
    val expected = (program?.lastRecord?.sequence ?: -1) + 1
    val opened = record.payload as? HistoryPayload.Opened
    return when {
        record.sequence != expected -> "record $expected of ${record.program} is missing"
        record.previousHash != program?.lastRecord?.hash.orEmpty() -> "record $expected of ${record.program} does not follow the one before"
        record.hash != record.computedHash() -> "record ${record.sequence} of ${record.program} was changed"
        program == null && opened == null -> "the history of ${record.program} does not start with an opened record"
        opened?.parent != null && program(opened.parent) == null -> "the parent of ${record.program} is missing or damaged"
        else -> null
    }
}

private fun ProgramWork.markDamaged(
    id: ProgramId,
    damage: String,
) {
    val tree = listOf(id) + partition(id)?.programs.orEmpty().filter { it.value.startsWith("${id.value}.") }
    for (member in tree) {
        val program = program(member)
        program?.parent?.let { parent -> updateProgram(parent) { it.copy(liveChildren = it.liveChildren.remove(member)) } }
        state = state.copy(programs = state.programs.remove(member))
        updatePartition(id.partition) {
            it.copy(
                programs = it.programs.remove(member),
                damaged = it.damaged.put(member, damage),
                openCalls = it.openCalls - if (program?.openCall == null) 0 else 1,
            )
        }
    }
}

private fun acknowledgementOf(record: HistoryRecord): Acknowledgement =
    when (val payload = record.payload) {
        is HistoryPayload.Opened -> Acknowledgement.Opened(record.program)
        is HistoryPayload.CallStarted -> Acknowledgement.Started(CallId(record.program, payload.position))
        is HistoryPayload.CallFinished -> Acknowledgement.Finished(CallId(record.program, payload.position))
        is HistoryPayload.Settled -> Acknowledgement.Settled(CallId(record.program, payload.position), resultOf(payload))
        is HistoryPayload.ChildOpened -> Acknowledgement.ChildOpened(record.program)
        is HistoryPayload.Ended -> Acknowledgement.Ended(record.program)
    }

private fun ProgramWork.addReplayedTimers(id: ProgramId) {
    val program = program(id) ?: return
    val ended = program.endedMillis
    when {
        ended == null -> addTimer(program.deadlineMillis, Timer.ProgramDeadline(id))
        ended + settings.endedRetentionMillis <= nowMillis -> evictProgram(id)
        else -> addTimer(ended + settings.endedRetentionMillis, Timer.ProgramEviction(id))
    }
}

/**
 * Resolves a call that a former owner started and whose outcome is not in the journal. The call is finished with the known
 * outcome of its key or with its tool result, sent again, awaited, queried by the tool's status call, or finished as unresolved.
 */
private fun ProgramWork.recoverOpenCall(id: ProgramId) {
    val program = program(id) ?: return
    val entry = program.openCall?.copy(recovered = true) ?: return
    val call = CallId(id, entry.position)
    updateProgram(id) { it.copy(openCall = entry) }
    val body = entry.body
    val sameKey = entry.originalCall?.let { program(id.root)?.keys?.get(digestOf(entry.key.orEmpty()))?.result }
    when {
        sameKey != null -> recordSameKeyFinish(call, sameKey)
        body is CallBody.ToolResult -> recordToolResultFinish(call)
        body == null -> finishUnresolved(call, entry, "its body is not readable")
        entry.repeatable -> recoverRepeatable(program, entry, call)
        isDispatched(call) -> awaitRunningCall(program, entry)
        body is CallBody.ToolCall && config.tools[body.tool]?.hasStatusCall == true -> requestStatus(program, entry, call, body)
        else -> finishUnresolved(call, entry, "it must not be sent again")
    }
}

private fun ProgramWork.recoverRepeatable(
    program: Program,
    entry: CallEntry,
    call: CallId,
) {
    addTimer(entry.deadlineMillis, Timer.CallDeadline(call))
    if (entry.deadlineMillis > nowMillis) {
        dispatch(program, entry)
    } else {
        val message = "the deadline passed while the owner node changed"
        val refusal = refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.DEADLINE, message, "call recovery", settings.retryAfterMillis)
        finishCall(call, entry, CallResult.Refused(refusal), attempts = 0)
    }
}

/** Only the journal moved, and this node's dispatch still runs the call: waits for its end and does not send it again. */
private fun ProgramWork.awaitRunningCall(
    program: Program,
    entry: CallEntry,
) {
    addTimer(entry.deadlineMillis, Timer.CallDeadline(CallId(program.id, entry.position)))
    dispatch(program, entry.copy(resumeOnly = true))
}

/** Extends the deadline for the tool's status call, since the call's own deadline may have passed during the change of owner. */
private fun ProgramWork.requestStatus(
    program: Program,
    entry: CallEntry,
    call: CallId,
    body: CallBody.ToolCall,
) {
    val timeoutMillis = config.tools[body.tool]?.timeoutMillis ?: settings.cancelLimitMillis
    val asked = entry.copy(resumeOnly = true, deadlineMillis = maxOf(entry.deadlineMillis, nowMillis + timeoutMillis))
    addTimer(asked.deadlineMillis, Timer.CallDeadline(call))
    dispatch(program, asked)
}

private fun ProgramWork.finishUnresolved(
    call: CallId,
    entry: CallEntry,
    why: String,
) {
    val message = "the owner node changed while call $call was open, and $why"
    val refusal = refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.UNRESOLVED, message, "call recovery")
    finishCall(call, entry, CallResult.Refused(refusal), attempts = 0)
}
