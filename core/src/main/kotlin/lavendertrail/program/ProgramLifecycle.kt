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

/** Largest number and depth of sub-agents that [ProgramId] can name. */
private const val MAX_CHILD_NUMBER = 9_999
private const val MAX_DEPTH = 8

internal fun ProgramWork.open(event: ProgramOpenRequested) {
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
            record(event.parent, HistoryPayload.ChildOpened(child), Acknowledgement.ChildOpened(event.parent))
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
        parent == null -> absent(event.parent)
        child == null -> openNotRun(RefusalReason.BAD_REQUEST, "child ${event.childNumber} of ${event.parent} can't be named")
        program(child) != null -> null
        parent.ending != null || parent.endedMillis != null -> openNotRun(RefusalReason.PROGRAM_ENDED, "program ${parent.id} has ended")
        parent.spec.account != event.spec.account || parent.spec.owner != event.spec.owner -> strangerChild(parent, event.spec)
        else -> openRefusal(child, event.spec, null, parentOf = parent.id)
    }

private fun ProgramWork.strangerChild(
    parent: Program,
    spec: ProgramSpec,
): Refusal =
    openNotRun(
        RefusalReason.NOT_ALLOWED,
        "a sub-agent of ${parent.id} must run for ${parent.spec.owner}/${parent.spec.account}, was ${spec.owner}/${spec.account}",
    )

private fun ProgramWork.absent(id: ProgramId): Refusal =
    if (isForgotten(id)) {
        openNotRun(RefusalReason.PROGRAM_ENDED, "program $id has ended")
    } else {
        openNotRun(RefusalReason.UNKNOWN_PROGRAM, "program $id was not opened")
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
        isForgotten(id) -> openNotRun(RefusalReason.PROGRAM_ENDED, "program $id has ended")
        id.parent != parentOf -> openNotRun(RefusalReason.BAD_REQUEST, "$id names a sub-agent, which its parent opens")
        partition?.draining == true -> openNotRun(RefusalReason.NOT_OWNER, "the partition is being handed over", settings.retryAfterMillis)
        failure != null -> openNotRun(RefusalReason.HISTORY_UNAVAILABLE, failure, settings.retryAfterMillis)
        (spec.deadlineMillis ?: Long.MAX_VALUE) <= nowMillis -> openNotRun(RefusalReason.DEADLINE, "the deadline has passed")
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
            openNotRun(
                RefusalReason.NOT_ALLOWED,
                "assistant '${spec.assistant}' belongs to ${assistant.owner}",
            )
        !within -> openNotRun(RefusalReason.NOT_ALLOWED, "budget $budget is above the limit of assistant '${spec.assistant}', $limit")
        else -> null
    }
}

private fun ProgramWork.openNotRun(
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
    record(id, HistoryPayload.Opened(spec, parent), Acknowledgement.Opened(id))
    change(id) { it.copy(openers = listOf(requestId)) }
    remind(checkNotNull(program(id)).deadlineMillis, Due.ProgramDeadline(id))
}

/** Opening is idempotent: the same spec gets the same program, once its first record is durable. */
private fun ProgramWork.openAgain(
    requestId: Long,
    program: Program,
    spec: ProgramSpec,
) {
    when {
        program.spec != spec -> {
            refuse(requestId, openNotRun(RefusalReason.BAD_REQUEST, "program ${program.id} was opened with another spec"))
        }

        program.durableRecords == 0 -> {
            change(program.id) { it.copy(openers = it.openers + requestId) }
        }

        else -> {
            effects += AnswerOpened(requestId, program.id)
        }
    }
}

internal fun ProgramWork.opened(id: ProgramId) {
    val openers = program(id)?.openers.orEmpty()
    change(id) { it.copy(openers = emptyList()) }
    openers.forEach { effects += AnswerOpened(it, id) }
}

internal fun ProgramWork.end(event: ProgramEndRequested) {
    val program = program(event.program)
    val refusal = programRefusal(event.program) ?: if (program == null) absent(event.program) else null
    when {
        refusal != null || program == null -> refusal?.let { refuse(event.requestId, it) }
        program.endDurable -> effects += AnswerEnded(event.requestId, program.id, program.spend.usage)
        else -> beginEnd(program.id, event.reason, event.requestId)
    }
}

/**
 * Ends a program and its sub-agents. `Ended` is recorded once no call runs: a call that was started has an outcome in the
 * history of every ended program.
 */
internal fun ProgramWork.beginEnd(
    id: ProgramId,
    reason: String,
    requestId: Long? = null,
) {
    val program = program(id) ?: return
    val ending = program.ending ?: Ending(reason)
    change(id) { it.copy(ending = ending.copy(requests = ending.requests + listOfNotNull(requestId))) }
    if (program.endedMillis != null) return
    for (waiting in program.waiting.values.sortedBy { it.request.call.position }) {
        refuseWaiting(id, waiting, unstarted(waiting.request, RefusalReason.PROGRAM_ENDED, "the program is ending: $reason"))
    }
    program(id)?.open?.let { cancel(CallId(id, it.position), it) }
    program.liveChildren.sortedBy { it.value }.forEach { beginEnd(it, reason) }
    finishEnd(id)
}

/** Records the end once nothing of the program or its sub-agents runs. */
internal fun ProgramWork.finishEnd(id: ProgramId) {
    val program = program(id) ?: return
    val ending = program.ending ?: return
    if (program.endedMillis != null || program.open != null || program.liveChildren.isNotEmpty()) return
    record(id, HistoryPayload.Ended(ending.reason, program.spend.usage), Acknowledgement.Ended(id))
    program.parent?.let { finishEnd(it) }
}

internal fun ProgramWork.ended(id: ProgramId) {
    val program = program(id) ?: return
    program.ending?.requests?.forEach { effects += AnswerEnded(it, id, program.spend.usage) }
    change(id) { it.copy(ending = it.ending?.copy(requests = emptyList())) }
    signals += ProgramGone(id, moved = false)
    remind((program.endedMillis ?: nowMillis) + settings.endedRetentionMillis, Due.Forget(id))
}

internal fun ProgramWork.programDeadline(id: ProgramId) {
    val program = program(id) ?: return
    if (program.endedMillis == null && program.deadlineMillis <= nowMillis) beginEnd(id, "expired")
}

/** Drops an ended program from memory. One with a call to settle stays until it is settled. */
internal fun ProgramWork.forget(id: ProgramId) {
    val program = program(id) ?: return
    if (!program.endDurable || program.unresolved.isNotEmpty()) return
    state = state.copy(programs = state.programs.remove(id))
    changePartition(id.partition) { it.copy(programs = it.programs.remove(id), forgotten = it.forgotten.add(digestOf(id.value))) }
}

internal fun ProgramWork.history(event: HistoryRequested) {
    val program = program(event.program)
    val refusal = programRefusal(event.program)
    when {
        refusal != null -> refuse(event.requestId, refusal)
        program != null -> effects += AnswerHistory(event.requestId, program.id, emptyList(), program.durableRecords)
        isForgotten(event.program) -> effects += AnswerHistory(event.requestId, event.program, emptyList(), Int.MAX_VALUE)
        else -> refuse(event.requestId, absent(event.program))
    }
}

internal fun ProgramWork.settle(event: SettleRequested) {
    val program = program(event.call.program)
    val use = program?.unresolved?.get(event.call.position)
    val refusal = programRefusal(event.call.program) ?: if (program == null) absent(event.call.program) else null
    val done = program?.recent?.get(event.call.position)?.result
    when {
        refusal != null -> refuse(event.requestId, refusal)
        use != null -> settleUnresolved(event, use)
        done != null && done.isSettledBy(event) -> answer(event.requestId, event.call, done)
        else -> refuse(event.requestId, settleRefusal("call ${event.call} has nothing to settle"))
    }
}

private fun CallResult.isSettledBy(event: SettleRequested): Boolean =
    this == resultOf(HistoryPayload.Settled(event.call.position, event.outcome, event.usage, event.settledBy))

private fun ProgramWork.settleRefusal(message: String): Refusal =
    refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.BAD_REQUEST, message, "program settle")

private fun ProgramWork.settleUnresolved(
    event: SettleRequested,
    use: UnresolvedUse,
) {
    val usage = event.usage
    val failure = partition(event.call.program)?.appendFailure
    val open = openEntry(event.call)
    when {
        failure != null -> {
            refuse(
                event.requestId,
                settleRefusal(failure).copy(reason = RefusalReason.HISTORY_UNAVAILABLE, retryAfterMillis = settings.retryAfterMillis),
            )
        }

        open != null -> {
            refuse(
                event.requestId,
                settleRefusal("the outcome of ${event.call} is being recorded").copy(retryAfterMillis = settings.retryAfterMillis),
            )
        }

        event.outcome == RunOutcome.NOT_RUN && (usage.totalTokens > 0 || usage.costMicros > 0) -> {
            refuse(event.requestId, settleRefusal("a call that did not run has no usage, was $usage"))
        }

        event.outcome == RunOutcome.MAY_HAVE_RUN -> {
            refuse(event.requestId, settleRefusal("a call is settled as run or as not run"))
        }

        usage.totalTokens > use.charged.totalTokens || usage.costMicros > use.charged.costMicros -> {
            refuse(event.requestId, settleRefusal("usage $usage is above what was reserved, ${use.charged}"))
        }

        else -> {
            val payload = HistoryPayload.Settled(event.call.position, event.outcome, usage, event.settledBy)
            record(event.call.program, payload, Acknowledgement.Settled(event.call, resultOf(payload), event.requestId))
        }
    }
}

internal fun ProgramWork.settled(acknowledgement: Acknowledgement.Settled) {
    acknowledgement.requestId?.let { answer(it, acknowledgement.call, acknowledgement.result) }
    val program = program(acknowledgement.call.program) ?: return
    val ended = program.endedMillis ?: return
    remind(ended + settings.endedRetentionMillis, Due.Forget(program.id))
}
