package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.history.sha256Hex
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.DispatchRequested
import lavendertrail.reducer.ProgramPaused
import lavendertrail.reducer.ProgramResumed

private const val STEP = "call execution"

/** `CallStarted` is durable, so the call may be sent; unless it is no longer wanted, and then it never will be. */
internal fun ProgramWork.started(call: CallId) {
    val program = program(call.program) ?: return
    val entry = program.open?.takeIf { it.position == call.position && it.phase == CallPhase.RUNNING } ?: return
    when {
        program.ending != null -> finishNotSent(call, entry, RefusalReason.CANCELLED, "the program is ending")
        entry.deadlineMillis <= nowMillis -> finishNotSent(call, entry, RefusalReason.DEADLINE, "the deadline has passed")
        else -> dispatch(program, entry)
    }
}

private fun ProgramWork.finishNotSent(
    call: CallId,
    entry: CallEntry,
    reason: RefusalReason,
    message: String,
) = finishCall(call, entry, CallResult.Refused(refusal(RunOutcome.NOT_RUN, reason, message, STEP)), attempts = 0)

internal fun ProgramWork.dispatch(
    program: Program,
    entry: CallEntry,
) {
    change(program.id) { it.copy(open = entry.copy(dispatchedMillis = nowMillis)) }
    signals += DispatchRequested(dispatchCall(program, entry))
    if (entry.kind == CallKind.TOOL) signals += ProgramPaused(program.id, entry.target)
}

private fun ProgramWork.dispatchCall(
    program: Program,
    entry: CallEntry,
): DispatchCall {
    val body = checkNotNull(entry.body) { "call ${program.id}/${entry.position} has no body" }
    val chain = entry.chain ?: PromptChain.EMPTY
    return DispatchCall(
        call = CallId(program.id, entry.position),
        owner = program.spec.owner,
        account = program.spec.account,
        serviceClass = program.spec.serviceClass,
        body = body,
        repeatable = entry.repeatable,
        key = entry.key,
        deadlineMillis = entry.deadlineMillis,
        programDeadlineMillis = program.deadlineMillis,
        programOpenedMillis = program.openedMillis,
        depth = program.depth,
        blocksParent = program.parent?.let { program(it) }?.let { it.open == null } ?: false,
        promptChain = chain,
        promptTokens = chain.tokens,
        maxTokens = (body as? CallBody.ModelCall)?.maxTokens ?: 0,
        fingerprint = fingerprint(body, chain),
        recovered = entry.recovered,
        resumeOnly = entry.resumeOnly,
    )
}

/** Names what a backend server is asked, without the program that asks. */
private fun fingerprint(
    body: CallBody,
    chain: PromptChain,
): String =
    when (body) {
        is CallBody.ModelCall -> sha256Hex("model\n${body.model}\n${chain.lastHash}\n${body.maxTokens}\n${body.temperature}")
        is CallBody.ToolCall -> sha256Hex("tool\n${body.tool}\n${body.arguments}")
        is CallBody.ToolResult -> sha256Hex("toolResult\n${body.tool}\n${body.content}")
    }

/** Dispatch is done with a call. Results of calls that have one, or that belong to another owner by now, are late. */
internal fun ProgramWork.dispatchFinished(event: DispatchFinished) {
    val entry = program(event.call.program)?.open ?: return
    if (entry.position != event.call.position || entry.phase != CallPhase.RUNNING) return
    finishCall(event.call, entry, truthful(entry, event.result), event.attempts)
}

/**
 * A recovered call was with another node, which may have sent it, or may still do so after a pause. So "not run" can't be
 * said about it, whatever dispatch saw here.
 */
private fun ProgramWork.truthful(
    entry: CallEntry,
    result: CallResult,
): CallResult {
    val refusal = (result as? CallResult.Refused)?.refusal ?: return result
    if (!entry.recovered || refusal.outcome != RunOutcome.NOT_RUN) return result
    val message = "${refusal.message}; a former owner node may have sent the call"
    return CallResult.Refused(refusal.copy(outcome = RunOutcome.MAY_HAVE_RUN, message = message))
}

/** Appends the outcome. Nobody is answered before the append is acknowledged. */
internal fun ProgramWork.finishCall(
    call: CallId,
    entry: CallEntry,
    result: CallResult,
    attempts: Int,
) {
    val usage = charge(entry, result)
    val refusal = (result as? CallResult.Refused)?.refusal
    record(
        call.program,
        HistoryPayload.CallFinished(
            position = call.position,
            outcome = refusal?.outcome ?: RunOutcome.RUN,
            usage = usage,
            server = (result as? CallResult.Answered)?.server,
            attempts = attempts,
            refusal = refusal?.reason,
        ),
        Acknowledgement.Finished(call),
        contentOf(result),
    )
}

private fun ProgramWork.charge(
    entry: CallEntry,
    result: CallResult,
) = when (val body = entry.body) {
    is CallBody.ModelCall -> chargedUsage(entry, result, config.models[body.model], null)
    is CallBody.ToolCall -> chargedUsage(entry, result, null, entry.reservation.costMicros)
    else -> chargedUsage(entry, result, null, null)
}

/** `CallFinished` is durable: answers everyone who waits and starts what waited for this outcome. */
internal fun ProgramWork.finished(
    call: CallId,
    open: CallEntry?,
    followers: List<CallId>,
) {
    val program = program(call.program) ?: return
    if (open != null) {
        open.waiters.forEach { answerStored(it, call, open) }
        resumed(program, open)
    }
    finishEnd(program.id)
    startNext(program.id)
    followers.forEach { startNext(it.program) }
}

private fun ProgramWork.resumed(
    program: Program,
    entry: CallEntry,
) {
    val since = entry.dispatchedMillis
    if (entry.kind == CallKind.TOOL && since != null) {
        signals += ProgramResumed(program.id, entry.target, nowMillis - since)
    }
}

/** The caller ran a tool itself: its pause lasted from the last answer to the submission of the result. */
internal fun ProgramWork.learnPause(
    program: Program,
    tool: String,
) {
    val since = program.lastAnswerMillis ?: return
    signals += ProgramResumed(program.id, tool, nowMillis - since)
}

/** Asks dispatch to stop a call, and bounds the wait for its answer. */
internal fun ProgramWork.cancel(
    call: CallId,
    entry: CallEntry,
) {
    if (entry.phase != CallPhase.RUNNING || entry.cancelled) return
    change(call.program) { it.copy(open = entry.copy(cancelled = true)) }
    signals += DispatchCancelled(call)
    remind(nowMillis + settings.cancelLimitMillis, Due.CancelLimit(call))
}

/** Dispatch did not report a cancelled call in time. */
internal fun ProgramWork.cancelLimit(call: CallId) {
    val entry = openEntry(call)?.takeIf { it.phase == CallPhase.RUNNING && it.cancelled } ?: return
    finishCall(call, entry, CallResult.Refused(noReport("the call was cancelled and its end was not reported")), attempts = 1)
}

private fun ProgramWork.noReport(message: String): Refusal = refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.CANCELLED, message, STEP)

internal fun ProgramWork.openEntry(call: CallId): CallEntry? = program(call.program)?.open?.takeIf { it.position == call.position }

/** The deadline of a call passed: a running one is stopped; who waits for an acknowledgement is told what is known. */
internal fun ProgramWork.callDeadline(call: CallId) {
    val entry = openEntry(call)?.takeIf { it.deadlineMillis <= nowMillis } ?: return
    if (entry.phase == CallPhase.RUNNING) return cancel(call, entry)
    val refusal =
        refusal(
            RunOutcome.MAY_HAVE_RUN,
            RefusalReason.HISTORY_UNAVAILABLE,
            "the journal has not acknowledged the call; ask again at the same position",
            "journal append",
            settings.retryAfterMillis,
        )
    change(call.program) { it.copy(open = entry.copy(waiters = entry.waiters.clear())) }
    entry.waiters.forEach { answer(it, call, CallResult.Refused(refusal)) }
}

/** A call waited too long for the ones before it. */
internal fun ProgramWork.waitingLimitPassed(call: CallId) {
    val program = program(call.program) ?: return
    val waiting = program.waiting[call.position]?.takeIf { waitingLimit(it) <= nowMillis } ?: return
    val message = "position ${call.position} waited for position ${program.nextPosition}"
    refuseWaiting(program.id, waiting, unstarted(waiting.request, RefusalReason.POSITION_GAP, message, settings.retryAfterMillis))
}
