package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage

/** Starts the waiting call at the next position, provided that the previous call has a durable outcome. */
internal fun ProgramWork.startNextCall(id: ProgramId) {
    val program = program(id) ?: return
    val partition = partition(id) ?: return
    if (program.openCall != null || program.ending != null || program.endedMillis != null || partition.draining) return
    val waiting = program.waiting[program.nextPosition] ?: return
    if (program.recent[program.nextPosition]?.retryAtMillis.let { it != null && it > nowMillis }) return
    val use = keyUse(waiting.request)
    when {
        use == null -> startNewCall(program, waiting)
        use.bodyDigest != digestOfHex(waiting.bodySha256) -> refuseWaitingCall(id, waiting, keyReusedRefusal(waiting.request, use))
        use.result == null -> addFollower(use, waiting)
        else -> startSameKey(program, waiting, use, use.result)
    }
}

private fun ProgramWork.addFollower(
    use: KeyUse,
    waiting: WaitingCall,
) {
    val call = waiting.request.call
    val key = digestOf(checkNotNull(waiting.request.key))
    if (call in use.followers) return
    updateProgram(call.program.root) { it.copy(keys = it.keys.put(key, use.copy(followers = use.followers.add(call)))) }
}

/** Records that the call shares the outcome of an earlier call with the same key. Nothing is dispatched or reserved. */
private fun ProgramWork.startSameKey(
    program: Program,
    waiting: WaitingCall,
    use: KeyUse,
    result: KeyResult,
) {
    val request = waiting.request
    recordStart(
        program,
        waiting,
        HistoryPayload.CallStarted(
            position = request.call.position,
            kind = CallKind.SAME_KEY,
            target = use.call.toString(),
            bodySha256 = waiting.bodySha256,
            repeatable = false,
            key = request.key,
            reservedTokens = 0,
            reservedCostMicros = 0,
            deadlineMillis = request.deadlineMillis,
        ),
    )
    recordSameKeyFinish(request.call, result)
}

internal fun ProgramWork.recordSameKeyFinish(
    call: CallId,
    result: KeyResult,
) {
    appendRecord(
        call.program,
        HistoryPayload.CallFinished(call.position, result.outcome, Usage(), result.server, attempts = 0, refusal = result.refusal),
        Acknowledgement.Finished(call),
    )
}

private fun ProgramWork.startNewCall(
    program: Program,
    waiting: WaitingCall,
) {
    val plan = planCall(program, waiting)
    val refusal = plan.refusal ?: state.shortfall(program.id, plan.reservation)?.let { notRunRefusal(it.reason, it.message) }
    if (refusal != null) return refuseWaitingCall(program.id, waiting, refusal)
    val request = waiting.request
    recordStart(
        program,
        waiting,
        HistoryPayload.CallStarted(
            position = request.call.position,
            kind = kindOf(request.body),
            target = targetOf(request.body),
            bodySha256 = waiting.bodySha256,
            repeatable = plan.repeatable,
            key = request.key,
            reservedTokens = plan.reservation.tokens,
            reservedCostMicros = plan.reservation.costMicros,
            deadlineMillis = minOf(request.deadlineMillis, program.deadlineMillis, plan.toolDeadlineMillis),
        ),
    )
    if (request.body is CallBody.ToolResult) {
        signalCallerToolPause(program, request.body.tool)
        recordToolResultFinish(request.call)
    }
}

/** A tool result is reported by the caller, who ran the tool, so it is finished without being dispatched. */
internal fun ProgramWork.recordToolResultFinish(call: CallId) {
    appendRecord(
        call.program,
        HistoryPayload.CallFinished(call.position, RunOutcome.RUN, Usage(), attempts = 0),
        Acknowledgement.Finished(call),
        contentOf(CallResult.Answered("", Usage())),
    )
}

private fun ProgramWork.recordStart(
    program: Program,
    waiting: WaitingCall,
    started: HistoryPayload.CallStarted,
) {
    val request = waiting.request
    updateProgram(program.id) { it.copy(waiting = it.waiting.remove(request.call.position)) }
    appendRecord(program.id, started, Acknowledgement.Started(request.call), encodeBody(request.body), request.body)
    updateProgram(program.id) { member ->
        member.copy(openCall = member.openCall?.copy(waiters = waiting.waiters, submittedMillis = waiting.submittedMillis))
    }
    addTimer(started.deadlineMillis, Timer.CallDeadline(request.call))
}

/** How a call is to be started: what it reserves, whether it may be repeated and its deadline, or why it is refused. */
private data class StartPlan(
    val reservation: Reservation = Reservation(0, 0, 0),
    val repeatable: Boolean = true,
    val toolDeadlineMillis: Long = Long.MAX_VALUE,
    val refusal: Refusal? = null,
)

private fun ProgramWork.planCall(
    program: Program,
    waiting: WaitingCall,
): StartPlan {
    val request = waiting.request
    return when (val body = request.body) {
        is CallBody.ModelCall -> planModelCall(program, body, request.repeatable)
        is CallBody.ToolCall -> planToolCall(body, request.repeatable, request.key)
        is CallBody.ToolResult -> StartPlan()
    }
}

private fun ProgramWork.planModelCall(
    program: Program,
    body: CallBody.ModelCall,
    repeatable: Boolean,
): StartPlan {
    val model = config.models[body.model] ?: return notConfigured("model '${body.model}'")
    return StartPlan(modelReservation(body, program.prompt.promptBound(body), model), repeatable)
}

private fun ProgramWork.planToolCall(
    body: CallBody.ToolCall,
    requestedRepeatable: Boolean,
    key: String?,
): StartPlan {
    val tool = config.tools[body.tool] ?: return notConfigured("tool '${body.tool}'")
    val repeatable = requestedRepeatable && tool.repeatable
    if (!repeatable && key == null) {
        val message = "calls of tool '${body.tool}' must not be repeated, so the call needs a key"
        return StartPlan(refusal = notRunRefusal(RefusalReason.BAD_REQUEST, message))
    }
    return StartPlan(Reservation(0, tool.costMicros, 0), repeatable, nowMillis + tool.timeoutMillis)
}

/** Without the configuration record the price is unknown. A retry is allowed, since the record may not have reached this node yet. */
private fun ProgramWork.notConfigured(what: String): StartPlan =
    StartPlan(refusal = notRunRefusal(RefusalReason.NO_SERVER, "$what is not configured", settings.retryAfterMillis))
