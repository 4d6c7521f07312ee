package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.reducer.AnswerEnded
import lavendertrail.reducer.AnswerHistory
import lavendertrail.reducer.AnswerOpened
import lavendertrail.reducer.ChildOpenRequested
import lavendertrail.reducer.HistoryRequested
import lavendertrail.reducer.ProgramEndRequested
import lavendertrail.reducer.ProgramGone
import lavendertrail.reducer.ProgramOpenRequested
import lavendertrail.reducer.SettleRequested

/** Largest number of a sub-agent, given by the format of [ProgramId]. */
private const val MAX_CHILD_NUMBER = 9_999

/** Greatest depth of a sub-agent below its root program, given by the format of [ProgramId]. */
private const val MAX_DEPTH = 8

internal fun ProgramWork.openProgram(event: ProgramOpenRequested) {
    val program = program(event.program)
    val refusal = programRefusal(event.program) ?: openRefusal(event.program, event.spec, program)
    when {
        refusal != null -> refuse(event.requestId, refusal)
        program != null -> openAgain(event.requestId, program, event.spec)
        else -> openNew(event.requestId, event.program, event.spec, null)
    }
}

internal fun ProgramWork.openChild(event: ChildOpenRequested) {
    val parent = program(event.parent)
    val numbered = event.childNumber in 0..MAX_CHILD_NUMBER && (parent?.depth ?: 0) < MAX_DEPTH
    val child = if (numbered) event.parent.child(event.childNumber) else null
    val program = child?.let { program(it) }
    val refusal = programRefusal(event.parent) ?: child?.let { programRefusal(it) } ?: childRefusal(event, parent, child)
    when {
        refusal != null -> {
            refuse(event.requestId, refusal)
        }

        program != null -> {
            openAgain(event.requestId, program, event.spec)
        }

        child != null -> {
            appendRecord(event.parent, HistoryPayload.ChildOpened(child), Acknowledgement.ChildOpened(event.parent))
            openNew(event.requestId, child, event.spec, event.parent)
        }
    }
}

private fun ProgramWork.childRefusal(
    event: ChildOpenRequested,
    parent: Program?,
    child: ProgramId?,
): Refusal? =
    when {
        parent == null -> absentProgramRefusal(event.parent)
        child == null ->
            notOpenedRefusal(
                RefusalReason.BAD_REQUEST,
                "child ${event.childNumber} of ${event.parent} is not in 0..$MAX_CHILD_NUMBER, or would be deeper than $MAX_DEPTH",
            )
        program(child) != null -> null
        parent.ending != null || parent.endedMillis != null ->
            notOpenedRefusal(RefusalReason.PROGRAM_ENDED, "program ${parent.id} has ended")
        parent.spec.account != event.spec.account || parent.spec.owner != event.spec.owner -> childOwnerRefusal(parent, event.spec)
        else -> openRefusal(child, event.spec, null, parentOf = parent.id)
    }

private fun ProgramWork.childOwnerRefusal(
    parent: Program,
    spec: ProgramSpec,
): Refusal =
    notOpenedRefusal(
        RefusalReason.NOT_ALLOWED,
        "a sub-agent of ${parent.id} must have the same owner and account, ${parent.spec.owner}/${parent.spec.account}, " +
            "was ${spec.owner}/${spec.account}",
    )

private fun ProgramWork.absentProgramRefusal(id: ProgramId): Refusal =
    if (isEvicted(id)) {
        notOpenedRefusal(RefusalReason.PROGRAM_ENDED, "program $id has ended")
    } else {
        notOpenedRefusal(RefusalReason.UNKNOWN_PROGRAM, "program $id was not opened")
    }

private fun ProgramWork.openRefusal(
    id: ProgramId,
    spec: ProgramSpec,
    existing: Program?,
    parentOf: ProgramId? = null,
): Refusal? {
    val partition = partition(id)
    val failure = partition?.appendFailure
    return when {
        existing != null -> null
        isEvicted(id) -> notOpenedRefusal(RefusalReason.PROGRAM_ENDED, "program $id has ended")
        id.parent != parentOf ->
            notOpenedRefusal(RefusalReason.BAD_REQUEST, "$id is the id of a sub-agent, which must be opened through its parent")
        partition?.draining == true ->
            notOpenedRefusal(RefusalReason.NOT_OWNER, "partition ${id.partition} is being handed over", settings.retryAfterMillis)
        failure != null -> notOpenedRefusal(RefusalReason.HISTORY_UNAVAILABLE, failure, settings.retryAfterMillis)
        (spec.deadlineMillis ?: Long.MAX_VALUE) <= nowMillis ->
            notOpenedRefusal(RefusalReason.DEADLINE, "the deadline ${spec.deadlineMillis} of program $id has passed")
        else -> assistantRefusal(spec)
    }
}

private fun ProgramWork.assistantRefusal(spec: ProgramSpec): Refusal? {
    val assistant = config.assistants[spec.assistant] ?: return null
    val limit = assistant.budget
    val budget = spec.budget
    val within =
        budget.maxTokens <= limit.maxTokens &&
            budget.maxCostMicros <= limit.maxCostMicros &&
            budget.maxTurns <= limit.maxTurns &&
            budget.maxWallMillis <= limit.maxWallMillis
    return when {
        assistant.owner != spec.owner ->
            notOpenedRefusal(
                RefusalReason.NOT_ALLOWED,
                "assistant '${spec.assistant}' belongs to ${assistant.owner}",
            )
        !within -> notOpenedRefusal(RefusalReason.NOT_ALLOWED, "budget $budget exceeds the limit of assistant '${spec.assistant}', $limit")
        else -> null
    }
}

private fun ProgramWork.notOpenedRefusal(
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
): Refusal = refusal(RunOutcome.NOT_RUN, reason, message, "program open", retryAfterMillis)

private fun ProgramWork.openNew(
    requestId: Long,
    id: ProgramId,
    spec: ProgramSpec,
    parent: ProgramId?,
) {
    appendRecord(id, HistoryPayload.Opened(spec, parent), Acknowledgement.Opened(id))
    updateProgram(id) { it.copy(openRequestIds = listOf(requestId)) }
    addTimer(checkNotNull(program(id)).deadlineMillis, Timer.ProgramDeadline(id))
}

/** Opening is idempotent: a request with the same spec is answered with the existing program once its first record is durable. */
private fun ProgramWork.openAgain(
    requestId: Long,
    program: Program,
    spec: ProgramSpec,
) {
    when {
        program.spec != spec -> {
            refuse(requestId, notOpenedRefusal(RefusalReason.BAD_REQUEST, "program ${program.id} was opened with another spec"))
        }

        program.durableRecords == 0 -> {
            updateProgram(program.id) { it.copy(openRequestIds = it.openRequestIds + requestId) }
        }

        else -> {
            effects += AnswerOpened(requestId, program.id)
        }
    }
}

internal fun ProgramWork.onProgramOpened(id: ProgramId) {
    val openRequestIds = program(id)?.openRequestIds.orEmpty()
    updateProgram(id) { it.copy(openRequestIds = emptyList()) }
    openRequestIds.forEach { effects += AnswerOpened(it, id) }
}

internal fun ProgramWork.endProgram(event: ProgramEndRequested) {
    val program = program(event.program)
    val refusal = programRefusal(event.program) ?: if (program == null) absentProgramRefusal(event.program) else null
    when {
        refusal != null || program == null -> refusal?.let { refuse(event.requestId, it) }
        program.endDurable -> effects += AnswerEnded(event.requestId, program.id, program.spend.usage)
        else -> beginEnd(program.id, event.reason, event.requestId)
    }
}

/**
 * Ends a program and its sub-agents. `Ended` is recorded only once no call is open, so that every started call in the
 * history of an ended program has an outcome.
 */
internal fun ProgramWork.beginEnd(
    id: ProgramId,
    reason: String,
    requestId: Long? = null,
) {
    val program = program(id) ?: return
    val ending = program.ending ?: Ending(reason)
    updateProgram(id) { it.copy(ending = ending.copy(requestIds = ending.requestIds + listOfNotNull(requestId))) }
    if (program.endedMillis != null) return
    for (waiting in program.waiting.values.sortedBy { it.request.call.position }) {
        refuseWaitingCall(id, waiting, notStartedRefusal(waiting.request, RefusalReason.PROGRAM_ENDED, "the program is ending: $reason"))
    }
    program(id)?.openCall?.let { cancelCall(CallId(id, it.position), it) }
    program.liveChildren.sortedBy { it.value }.forEach { beginEnd(it, reason) }
    recordEndIfIdle(id)
}

/** Records the end of an ending program if it has no open call and no live sub-agent. */
internal fun ProgramWork.recordEndIfIdle(id: ProgramId) {
    val program = program(id) ?: return
    val ending = program.ending ?: return
    if (program.endedMillis != null || program.openCall != null || program.liveChildren.isNotEmpty()) return
    appendRecord(id, HistoryPayload.Ended(ending.reason, program.spend.usage), Acknowledgement.Ended(id))
    program.parent?.let { recordEndIfIdle(it) }
}

internal fun ProgramWork.onProgramEnded(id: ProgramId) {
    val program = program(id) ?: return
    program.ending?.requestIds?.forEach { effects += AnswerEnded(it, id, program.spend.usage) }
    updateProgram(id) { it.copy(ending = it.ending?.copy(requestIds = emptyList())) }
    signals += ProgramGone(id, moved = false)
    addTimer((program.endedMillis ?: nowMillis) + settings.endedRetentionMillis, Timer.ProgramEviction(id))
}

internal fun ProgramWork.onProgramDeadline(id: ProgramId) {
    val program = program(id) ?: return
    if (program.endedMillis == null && program.deadlineMillis <= nowMillis) beginEnd(id, "expired")
}

/** Evicts an ended program from memory. A program with an unresolved call stays until the call is settled. */
internal fun ProgramWork.evictProgram(id: ProgramId) {
    val program = program(id) ?: return
    if (!program.endDurable || program.unresolved.isNotEmpty()) return
    state = state.copy(programs = state.programs.remove(id))
    updatePartition(id.partition) { it.copy(programs = it.programs.remove(id), evicted = it.evicted.add(digestOf(id.value))) }
}

internal fun ProgramWork.answerHistory(event: HistoryRequested) {
    val program = program(event.program)
    val refusal = programRefusal(event.program)
    when {
        refusal != null -> refuse(event.requestId, refusal)
        program != null -> effects += AnswerHistory(event.requestId, program.id, emptyList(), program.durableRecords)
        isEvicted(event.program) -> effects += AnswerHistory(event.requestId, event.program, emptyList(), Int.MAX_VALUE)
        else -> refuse(event.requestId, absentProgramRefusal(event.program))
    }
}

internal fun ProgramWork.settleCall(event: SettleRequested) {
    val program = program(event.call.program)
    val use = program?.unresolved?.get(event.call.position)
    val refusal = programRefusal(event.call.program) ?: if (program == null) absentProgramRefusal(event.call.program) else null
    val done = program?.recent?.get(event.call.position)?.result
    when {
        refusal != null -> refuse(event.requestId, refusal)
        use != null -> settleUnresolved(event, use)
        done != null && done.isSettledBy(event) -> answer(event.requestId, event.call, done)
        else -> refuse(event.requestId, settleRefusal("call ${event.call} has no unresolved outcome to settle"))
    }
}

private fun CallResult.isSettledBy(event: SettleRequested): Boolean =
    this == resultOf(HistoryPayload.Settled(event.call.position, event.outcome, event.usage, event.settledBy))

private fun ProgramWork.settleRefusal(message: String): Refusal =
    refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.BAD_REQUEST, message, "program settle")

private fun ProgramWork.settleUnresolved(
    event: SettleRequested,
    use: UnresolvedUsage,
) {
    val usage = event.usage
    val failure = partition(event.call.program)?.appendFailure
    val openCall = openEntry(event.call)
    when {
        failure != null -> {
            refuse(
                event.requestId,
                settleRefusal(failure).copy(reason = RefusalReason.HISTORY_UNAVAILABLE, retryAfterMillis = settings.retryAfterMillis),
            )
        }

        openCall != null -> {
            refuse(
                event.requestId,
                settleRefusal("the outcome of ${event.call} is being recorded").copy(retryAfterMillis = settings.retryAfterMillis),
            )
        }

        event.outcome == RunOutcome.NOT_RUN && (usage.totalTokens > 0 || usage.costMicros > 0) -> {
            refuse(event.requestId, settleRefusal("a call that did not run must be settled without usage, was $usage"))
        }

        event.outcome == RunOutcome.MAY_HAVE_RUN -> {
            refuse(event.requestId, settleRefusal("a call must be settled as run or as not run, was ${event.outcome}"))
        }

        usage.totalTokens > use.charged.totalTokens || usage.costMicros > use.charged.costMicros -> {
            refuse(event.requestId, settleRefusal("usage $usage exceeds the charged reservation ${use.charged}"))
        }

        else -> {
            val payload = HistoryPayload.Settled(event.call.position, event.outcome, usage, event.settledBy)
            appendRecord(event.call.program, payload, Acknowledgement.Settled(event.call, resultOf(payload), event.requestId))
        }
    }
}

internal fun ProgramWork.onCallSettled(acknowledgement: Acknowledgement.Settled) {
    acknowledgement.requestId?.let { answer(it, acknowledgement.call, acknowledgement.result) }
    val program = program(acknowledgement.call.program) ?: return
    val ended = program.endedMillis ?: return
    addTimer(ended + settings.endedRetentionMillis, Timer.ProgramEviction(program.id))
}
