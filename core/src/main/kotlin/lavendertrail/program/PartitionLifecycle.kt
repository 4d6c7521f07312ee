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
 * An acknowledgement covers all earlier appends of the partition too: a copy takes entries only without gaps, so what it
 * has of a later append it has of the earlier ones. So a lost or late acknowledgement does no harm.
 */
internal fun ProgramWork.appended(event: HistoryAppended) {
    val partition = state.partitions[event.partition]?.takeIf { it.epoch == event.epoch } ?: return
    val done = partition.pending.takeWhile { it.appendId <= event.appendId }
    if (done.isEmpty()) return
    changePartition(event.partition) { it.copy(pending = it.pending.removeAll(done), appendFailure = null) }
    done.forEach { append -> append.acknowledgements.forEach(::acknowledged) }
    checkDrained(event.partition)
}

private fun ProgramWork.acknowledged(acknowledgement: Acknowledgement) {
    val open = program(acknowledgement.program)?.open
    val followers = open?.key?.let { program(acknowledgement.program.root)?.keys?.get(digestOf(it))?.followers }.orEmpty()
    state = state.acknowledge(acknowledgement, nowMillis, settings)
    when (acknowledgement) {
        is Acknowledgement.Opened -> opened(acknowledgement.program)
        is Acknowledgement.Started -> started(acknowledgement.call)
        is Acknowledgement.Finished -> finished(acknowledgement.call, open, followers)
        is Acknowledgement.Settled -> settled(acknowledgement)
        is Acknowledgement.Ended -> ended(acknowledgement.program)
        is Acknowledgement.ChildOpened -> Unit
    }
}

/**
 * Where the append was fenced, another node decides for the partition. Otherwise the journal client goes on with the same
 * append, which may be on one copy already. So nothing that waits for it is answered, and only new calls are refused.
 */
internal fun ProgramWork.appendFailed(event: HistoryAppendFailed) {
    val partition = state.partitions[event.partition]?.takeIf { it.epoch == event.epoch } ?: return
    if (event.fenced) {
        drop(event.partition, "the journal is sealed by another owner: ${event.message}")
        signals += PartitionLost(event.partition, event.message)
    } else if (partition.pending.any { it.appendId == event.appendId }) {
        changePartition(event.partition) { it.copy(appendFailure = "journal append failed: ${event.message}") }
    }
}

/** Forgets a partition's programs and refuses what waits for them. */
internal fun ProgramWork.drop(
    id: PartitionId,
    reason: String,
) {
    val partition = state.partitions[id] ?: return
    val programs = partition.programs.sortedBy { it.value }.mapNotNull(::program)
    for (program in programs) {
        refuseAll(program, reason)
        if (!program.endDurable) signals += ProgramGone(program.id, moved = true)
    }
    val settling = partition.pending.flatMap { it.acknowledgements }.filterIsInstance<Acknowledgement.Settled>()
    settling.forEach { settled -> settled.requestId?.let { refuse(it, lost(RunOutcome.MAY_HAVE_RUN, reason)) } }
    discardRecords(id)
    state =
        state.copy(
            partitions = state.partitions.remove(id),
            programs = programs.fold(state.programs) { map, program -> map.remove(program.id) },
        )
}

/**
 * A call in the buffer was not run. A call whose `CallStarted` was handed to the journal may be found and run by the next
 * owner, also where it is not acknowledged.
 */
private fun ProgramWork.refuseAll(
    program: Program,
    reason: String,
) {
    val retryAfterMillis = settings.retryAfterMillis
    program.waiting.values.sortedBy { it.request.call.position }.forEach { waiting ->
        refuseWaiting(program.id, waiting, unstarted(waiting.request, RefusalReason.NOT_OWNER, reason, retryAfterMillis))
    }
    program.open?.let { entry ->
        val refused = CallResult.Refused(lost(RunOutcome.MAY_HAVE_RUN, reason))
        entry.waiters.forEach { answer(it, CallId(program.id, entry.position), refused) }
    }
    val requests = program.openers + program.ending?.requests.orEmpty()
    requests.forEach { refuse(it, lost(RunOutcome.NOT_RUN, reason)) }
}

private fun ProgramWork.lost(
    outcome: RunOutcome,
    reason: String,
): Refusal = refusal(outcome, RefusalReason.NOT_OWNER, reason, "partition handover", settings.retryAfterMillis)

/** No new call is accepted; what runs goes on. */
internal fun ProgramWork.drain(id: PartitionId) {
    val partition = state.partitions[id] ?: return
    if (partition.draining) return
    changePartition(id) { it.copy(draining = true) }
    for (program in partition.programs.sortedBy { it.value }.mapNotNull(::program)) {
        program.waiting.values.sortedBy { it.request.call.position }.forEach { waiting ->
            refuseWaiting(program.id, waiting, handedOver(waiting.request))
        }
    }
    checkDrained(id)
}

internal fun ProgramWork.checkDrained(id: PartitionId) {
    val partition = state.partitions[id] ?: return
    if (!partition.draining || partition.drained || partition.openCalls > 0) return
    if (partition.pending.isNotEmpty() || hasRecords(id)) return
    changePartition(id) { it.copy(drained = true) }
    signals += PartitionDrained(id)
}

/** Rebuilds a partition from its journal and decides about the calls that a former owner left open. */
internal fun ProgramWork.acquire(event: PartitionAcquired) {
    val held = state.partitions[event.partition]
    if (held != null && held.epoch >= event.epoch) return
    drop(event.partition, "the journal moved in epoch ${event.epoch}")
    state = state.copy(partitions = state.partitions.put(event.partition, PartitionPrograms(event.epoch)))
    event.records.forEach(::replay)
    val programs = checkNotNull(state.partitions[event.partition]).programs.sortedBy { it.value }
    programs.forEach(::remindReplayed)
    programs.forEach(::recover)
}

/** Folds a record of the journal. A program whose chain of records is broken is set aside. */
private fun ProgramWork.replay(record: HistoryRecord) {
    val program = program(record.program)
    val last = program?.lastRecord
    val damaged = partition(record.program)?.damaged.orEmpty()
    val damage = damageOf(record, program)
    when {
        record.program in damaged -> Unit
        last != null && record.sequence == last.sequence && record.hash == last.hash -> Unit
        damage != null -> setAside(record.program, damage)
        else -> replaySound(record)
    }
}

private fun ProgramWork.replaySound(record: HistoryRecord) {
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
        program == null && opened == null -> "${record.program} does not start with its opening"
        opened?.parent != null && program(opened.parent) == null -> "the parent of ${record.program} is not readable"
        else -> null
    }
}

private fun ProgramWork.setAside(
    id: ProgramId,
    damage: String,
) {
    val tree = listOf(id) + partition(id)?.programs.orEmpty().filter { it.value.startsWith("${id.value}.") }
    for (member in tree) {
        val program = program(member)
        program?.parent?.let { parent -> change(parent) { it.copy(liveChildren = it.liveChildren.remove(member)) } }
        state = state.copy(programs = state.programs.remove(member))
        changePartition(id.partition) {
            it.copy(
                programs = it.programs.remove(member),
                damaged = it.damaged.put(member, damage),
                openCalls = it.openCalls - if (program?.open == null) 0 else 1,
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

private fun ProgramWork.remindReplayed(id: ProgramId) {
    val program = program(id) ?: return
    val ended = program.endedMillis
    when {
        ended == null -> remind(program.deadlineMillis, Due.ProgramDeadline(id))
        ended + settings.endedRetentionMillis <= nowMillis -> forget(id)
        else -> remind(ended + settings.endedRetentionMillis, Due.Forget(id))
    }
}

/** Decides about a call that a former owner started and whose outcome is not in the journal. */
private fun ProgramWork.recover(id: ProgramId) {
    val program = program(id) ?: return
    val entry = program.open?.copy(recovered = true) ?: return
    val call = CallId(id, entry.position)
    change(id) { it.copy(open = entry) }
    val body = entry.body
    val sameKey = entry.sameAs?.let { program(id.root)?.keys?.get(digestOf(entry.key.orEmpty()))?.result }
    when {
        sameKey != null -> recordSameKeyFinish(call, sameKey)
        body is CallBody.ToolResult -> recordToolResultFinish(call)
        body == null -> unresolved(call, entry, "its body is not readable")
        entry.repeatable -> recoverRepeatable(program, entry, call)
        isDispatched(call) -> awaitEnd(program, entry)
        body is CallBody.ToolCall && config.tools[body.tool]?.hasStatusCall == true -> askForStatus(program, entry, call, body)
        else -> unresolved(call, entry, "it must not be sent again")
    }
}

private fun ProgramWork.recoverRepeatable(
    program: Program,
    entry: CallEntry,
    call: CallId,
) {
    remind(entry.deadlineMillis, Due.CallDeadline(call))
    if (entry.deadlineMillis > nowMillis) {
        dispatch(program, entry)
    } else {
        val message = "the deadline passed while the owner node changed"
        val refusal = refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.DEADLINE, message, "call recovery", settings.retryAfterMillis)
        finishCall(call, entry, CallResult.Refused(refusal), attempts = 0)
    }
}

/** Only the journal moved, and the call still runs here: its end is awaited, and it is not sent again. */
private fun ProgramWork.awaitEnd(
    program: Program,
    entry: CallEntry,
) {
    remind(entry.deadlineMillis, Due.CallDeadline(CallId(program.id, entry.position)))
    dispatch(program, entry.copy(resumeOnly = true))
}

/** The status call gets a time of its own: the call's deadline may have passed while the owner changed. */
private fun ProgramWork.askForStatus(
    program: Program,
    entry: CallEntry,
    call: CallId,
    body: CallBody.ToolCall,
) {
    val timeoutMillis = config.tools[body.tool]?.timeoutMillis ?: settings.cancelLimitMillis
    val asked = entry.copy(resumeOnly = true, deadlineMillis = maxOf(entry.deadlineMillis, nowMillis + timeoutMillis))
    remind(asked.deadlineMillis, Due.CallDeadline(call))
    dispatch(program, asked)
}

private fun ProgramWork.unresolved(
    call: CallId,
    entry: CallEntry,
    why: String,
) {
    val message = "the owner node changed while call $call was open, and $why"
    val refusal = refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.UNRESOLVED, message, "call recovery")
    finishCall(call, entry, CallResult.Refused(refusal), attempts = 0)
}
