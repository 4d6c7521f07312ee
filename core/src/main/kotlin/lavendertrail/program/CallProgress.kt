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

/** `CallStarted` is durable: dispatches the call, or finishes it unsent if its program is ending or its deadline has passed. */
internal fun ProgramWork.onCallStarted(call: CallId) {
    val program = program(call.program) ?: return
    val entry = program.openCall?.takeIf { it.position == call.position && it.phase == CallPhase.RUNNING } ?: return
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
    updateProgram(program.id) { it.copy(openCall = entry.copy(dispatchedMillis = nowMillis)) }
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
        blocksParent = program.parent?.let { program(it) }?.let { it.openCall == null } ?: false,
        promptChain = chain,
        promptTokens = chain.tokens,
        maxTokens = (body as? CallBody.ModelCall)?.maxTokens ?: 0,
        fingerprint = fingerprint(body, chain),
        recovered = entry.recovered,
        resumeOnly = entry.resumeOnly,
    )
}

/** Identifies the content of a request to a backend server, independent of the program that makes it. */
private fun fingerprint(
    body: CallBody,
    chain: PromptChain,
): String =
    when (body) {
        is CallBody.ModelCall -> sha256Hex("model\n${body.model}\n${chain.lastHash}\n${body.maxTokens}\n${body.temperature}")
        is CallBody.ToolCall -> sha256Hex("tool\n${body.tool}\n${body.arguments}")
        is CallBody.ToolResult -> sha256Hex("toolResult\n${body.tool}\n${body.content}")
    }

/** Records the result of a call. A late result is ignored: the call already has one, or this node no longer owns it. */
internal fun ProgramWork.onDispatchFinished(event: DispatchFinished) {
    val entry = program(event.call.program)?.openCall ?: return
    if (entry.position != event.call.position || entry.phase != CallPhase.RUNNING) return
    finishCall(event.call, entry, withRecoveredOutcome(entry, event.result), event.attempts)
}

/**
 * A recovered call was started by a former owner node, which may have sent it, or may still send it when it resumes after a
 * pause. So a refusal is never reported as "not run", even where dispatch on this node did not send the call.
 */
private fun ProgramWork.withRecoveredOutcome(
    entry: CallEntry,
    result: CallResult,
): CallResult {
    val refusal = (result as? CallResult.Refused)?.refusal ?: return result
    if (!entry.recovered || refusal.outcome != RunOutcome.NOT_RUN) return result
    val message = "${refusal.message}; a former owner node may have sent the call"
    return CallResult.Refused(refusal.copy(outcome = RunOutcome.MAY_HAVE_RUN, message = message))
}

/** Appends the outcome to the journal. Callers are answered only once the append is acknowledged. */
internal fun ProgramWork.finishCall(
    call: CallId,
    entry: CallEntry,
    result: CallResult,
    attempts: Int,
) {
    val usage = usageToCharge(entry, result)
    val refusal = (result as? CallResult.Refused)?.refusal
    appendRecord(
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

private fun ProgramWork.usageToCharge(
    entry: CallEntry,
    result: CallResult,
) = when (val body = entry.body) {
    is CallBody.ModelCall -> chargedUsage(entry, result, config.models[body.model], null)
    is CallBody.ToolCall -> chargedUsage(entry, result, null, entry.reservation.costMicros)
    else -> chargedUsage(entry, result, null, null)
}

/** `CallFinished` is durable: answers the waiting requests and starts the calls that waited for this outcome. */
internal fun ProgramWork.onCallFinished(
    call: CallId,
    openCall: CallEntry?,
    followers: List<CallId>,
) {
    val program = program(call.program) ?: return
    if (openCall != null) {
        openCall.waiters.forEach { answerStored(it, call, openCall) }
        signalResumed(program, openCall)
    }
    recordEndIfIdle(program.id)
    startNextCall(program.id)
    followers.forEach { startNextCall(it.program) }
}

private fun ProgramWork.signalResumed(
    program: Program,
    entry: CallEntry,
) {
    val since = entry.dispatchedMillis
    if (entry.kind == CallKind.TOOL && since != null) {
        signals += ProgramResumed(program.id, entry.target, nowMillis - since)
    }
}

/** Reports the pause of a program whose caller ran a tool itself: from the last answer to the submission of the tool's result. */
internal fun ProgramWork.signalCallerToolPause(
    program: Program,
    tool: String,
) {
    val since = program.lastAnswerMillis ?: return
    signals += ProgramResumed(program.id, tool, nowMillis - since)
}

/** Asks dispatch to cancel a call and sets a timer in case dispatch does not report its end. */
internal fun ProgramWork.cancelCall(
    call: CallId,
    entry: CallEntry,
) {
    if (entry.phase != CallPhase.RUNNING || entry.cancelled) return
    updateProgram(call.program) { it.copy(openCall = entry.copy(cancelled = true)) }
    signals += DispatchCancelled(call)
    addTimer(nowMillis + settings.cancelLimitMillis, Timer.CancelTimeout(call))
}

/** Dispatch did not report the end of a cancelled call in time, so the call may have run. */
internal fun ProgramWork.onCancelTimeout(call: CallId) {
    val entry = openEntry(call)?.takeIf { it.phase == CallPhase.RUNNING && it.cancelled } ?: return
    finishCall(call, entry, CallResult.Refused(noReportRefusal("dispatch did not report the end of the cancelled call")), attempts = 1)
}

private fun ProgramWork.noReportRefusal(message: String): Refusal = refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.CANCELLED, message, STEP)

internal fun ProgramWork.openEntry(call: CallId): CallEntry? = program(call.program)?.openCall?.takeIf { it.position == call.position }

/** The deadline of a call passed: cancels a running call, and refuses the requests that still wait for the journal. */
internal fun ProgramWork.onCallDeadline(call: CallId) {
    val entry = openEntry(call)?.takeIf { it.deadlineMillis <= nowMillis } ?: return
    if (entry.phase == CallPhase.RUNNING) return cancelCall(call, entry)
    val refusal =
        refusal(
            RunOutcome.MAY_HAVE_RUN,
            RefusalReason.HISTORY_UNAVAILABLE,
            "the journal has not acknowledged the call; submit it again at the same position",
            "journal append",
            settings.retryAfterMillis,
        )
    updateProgram(call.program) { it.copy(openCall = entry.copy(waiters = entry.waiters.clear())) }
    entry.waiters.forEach { answer(it, call, CallResult.Refused(refusal)) }
}

/** A call waited too long for the calls at earlier positions. */
internal fun ProgramWork.onWaitingTimeout(call: CallId) {
    val program = program(call.program) ?: return
    val waiting = program.waiting[call.position]?.takeIf { waitingDeadlineMillis(it) <= nowMillis } ?: return
    val message = "position ${call.position} waited too long for position ${program.nextPosition}"
    val refusal = notStartedRefusal(waiting.request, RefusalReason.POSITION_GAP, message, settings.retryAfterMillis)
    refuseWaitingCall(program.id, waiting, refusal)
}
