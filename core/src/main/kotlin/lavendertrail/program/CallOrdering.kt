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

/** Starts the call at the next position, if it is there and the one before has a durable outcome. */
internal fun ProgramWork.startNext(id: ProgramId) {
    val program = program(id) ?: return
    val partition = partition(id) ?: return
    if (program.open != null || program.ending != null || program.endedMillis != null || partition.draining) return
    val waiting = program.waiting[program.nextPosition] ?: return
    if (program.recent[program.nextPosition]?.reopensAtMillis.let { it != null && it > nowMillis }) return
    val use = keyUse(waiting.request)
    when {
        use == null -> startFresh(program, waiting)
        use.bodyDigest != digestOfHex(waiting.bodySha256) -> refuseWaiting(id, waiting, keyReused(waiting.request, use))
        use.result == null -> follow(use, waiting)
        else -> startSameKey(program, waiting, use, use.result)
    }
}

private fun ProgramWork.follow(
    use: KeyUse,
    waiting: WaitingCall,
) {
    val call = waiting.request.call
    val key = digestOf(checkNotNull(waiting.request.key))
    if (call in use.followers) return
    change(call.program.root) { it.copy(keys = it.keys.put(key, use.copy(followers = use.followers.add(call)))) }
}

/** The call was made under its key before: only that fact is recorded, at this position. */
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
    record(
        call.program,
        HistoryPayload.CallFinished(call.position, result.outcome, Usage(), result.server, attempts = 0, refusal = result.refusal),
        Acknowledgement.Finished(call),
    )
}

private fun ProgramWork.startFresh(
    program: Program,
    waiting: WaitingCall,
) {
    val plan = plan(program, waiting)
    val refusal = plan.refusal ?: state.shortfall(program.id, plan.reservation)?.let { notRun(it.reason, it.message) }
    if (refusal != null) return refuseWaiting(program.id, waiting, refusal)
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
            deadlineMillis = minOf(request.deadlineMillis, program.deadlineMillis, plan.limitMillis),
        ),
    )
    if (request.body is CallBody.ToolResult) {
        learnPause(program, request.body.tool)
        recordToolResultFinish(request.call)
    }
}

/** A tool result is a fact that the caller reports; nothing is dispatched for it. */
internal fun ProgramWork.recordToolResultFinish(call: CallId) {
    record(
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
    change(program.id) { it.copy(waiting = it.waiting.remove(request.call.position)) }
    record(program.id, started, Acknowledgement.Started(request.call), encodeBody(request.body), request.body)
    change(program.id) { member ->
        member.copy(open = member.open?.copy(waiters = waiting.waiters, submittedMillis = waiting.submittedMillis))
    }
    remind(started.deadlineMillis, Due.CallDeadline(request.call))
}

/** How a call would be started: what it may use, how long it may take, or why it can't be started. */
private data class StartPlan(
    val reservation: Reservation = Reservation(0, 0, 0),
    val repeatable: Boolean = true,
    val limitMillis: Long = Long.MAX_VALUE,
    val refusal: Refusal? = null,
)

private fun ProgramWork.plan(
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
        val message = "tool '${body.tool}' must not repeat a call, so the call needs a key"
        return StartPlan(refusal = notRun(RefusalReason.BAD_REQUEST, message))
    }
    return StartPlan(Reservation(0, tool.costMicros, 0), repeatable, nowMillis + tool.timeoutMillis)
}

/** Without its record the price is not known. The record may still be on its way here. */
private fun ProgramWork.notConfigured(what: String): StartPlan =
    StartPlan(refusal = notRun(RefusalReason.NO_SERVER, "$what is not configured", settings.retryAfterMillis))
