package lavendertrail.program

import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.reducer.AnswerFromHistory
import lavendertrail.reducer.AttachStream
import lavendertrail.reducer.CallSubmitted

private const val STEP = "call admission"

/** Attaches a duplicate request to its existing call, and buffers a new call until the calls before it have outcomes. */
internal fun ProgramWork.submitCall(event: CallSubmitted) {
    val request = event.request
    val refusal = programRefusal(request.call.program)
    val program = program(request.call.program)
    when {
        refusal != null -> refuse(event.requestId, refusal)
        program == null -> submitToAbsentProgram(event.requestId, request)
        program.spec.account != request.account -> refuse(event.requestId, wrongAccountRefusal(program, request))
        else -> submitToProgram(program, event.requestId, request, bodySha256(request.body))
    }
}

/** Why this node can't handle any request for [id]: it does not own the partition, or the program's history is damaged. */
internal fun ProgramWork.programRefusal(id: ProgramId): Refusal? {
    val partition = partition(id) ?: return notOwnerRefusal(id)
    val damage = partition.damaged[id] ?: return null
    return refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.HISTORY_UNAVAILABLE, damage, "program replay")
}

internal fun ProgramWork.notOwnerRefusal(id: ProgramId): Refusal =
    notRunRefusal(RefusalReason.NOT_OWNER, "partition ${id.partition} is not held by this node", settings.retryAfterMillis)

internal fun ProgramWork.notRunRefusal(
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
): Refusal = refusal(RunOutcome.NOT_RUN, reason, message, STEP, retryAfterMillis)

private fun ProgramWork.submitToAbsentProgram(
    requestId: Long,
    request: CallRequest,
) {
    if (isEvicted(request.call.program)) {
        effects += AnswerFromHistory(requestId, request.call, bodySha256(request.body), Int.MAX_VALUE)
    } else {
        refuse(requestId, notRunRefusal(RefusalReason.UNKNOWN_PROGRAM, "program ${request.call.program} was not opened"))
    }
}

internal fun ProgramWork.isEvicted(id: ProgramId): Boolean = digestOf(id.value) in partition(id)?.evicted.orEmpty()

private fun ProgramWork.wrongAccountRefusal(
    program: Program,
    request: CallRequest,
): Refusal =
    notRunRefusal(
        RefusalReason.NOT_ALLOWED,
        "program ${program.id} belongs to account ${program.spec.account}, the call was submitted for ${request.account}",
    )

private fun ProgramWork.submitToProgram(
    program: Program,
    requestId: Long,
    request: CallRequest,
    sha256: String,
) {
    val position = request.call.position
    val digest = digestOfHex(sha256)
    val openCall = program.openCall?.takeIf { it.position == position }
    val done = program.recent[position]?.takeUnless { (it.retryAtMillis ?: Long.MAX_VALUE) <= nowMillis }
    when {
        openCall != null && openCall.bodyDigest != digest -> refuse(requestId, positionTakenRefusal(request.call))
        openCall != null -> joinOpenCall(program, openCall, requestId)
        done != null && done.bodyDigest != digest -> refuse(requestId, positionTakenRefusal(request.call))
        done != null -> answerStored(requestId, request.call, done)
        position < program.nextPosition -> answerFromHistory(requestId, request.call, sha256)
        else -> submitNew(program, requestId, request, sha256)
    }
}

private fun ProgramWork.positionTakenRefusal(call: CallId): Refusal =
    notRunRefusal(RefusalReason.POSITION_TAKEN, "position ${call.position} of ${call.program} is taken by another call")

private fun ProgramWork.joinOpenCall(
    program: Program,
    openCall: CallEntry,
    requestId: Long,
) {
    val call = CallId(program.id, openCall.position)
    addRequest(requestId, call)
    updateProgram(program.id) { it.copy(openCall = openCall.copy(waiters = openCall.waiters.add(requestId))) }
    effects += AttachStream(requestId, openCall.originalCall ?: call)
}

private fun ProgramWork.answerFromHistory(
    requestId: Long,
    call: CallId,
    sha256: String?,
) {
    removeRequest(requestId)
    effects += AnswerFromHistory(requestId, call, sha256, program(call.program)?.durableRecords ?: Int.MAX_VALUE)
}

/** Answers with the durable outcome. A call that repeats an idempotency key has the outcome of the first call with that key. */
internal fun ProgramWork.answerStored(
    requestId: Long,
    call: CallId,
    entry: CallEntry,
) {
    val first = entry.originalCall
    val result = if (first == null) entry.result else program(first.program)?.recent?.get(first.position)?.result
    if (result != null) answer(requestId, call, result) else answerFromHistory(requestId, first ?: call, null)
}

private fun ProgramWork.submitNew(
    program: Program,
    requestId: Long,
    request: CallRequest,
    sha256: String,
) {
    val refusal = newCallRefusal(program, request, sha256)
    val waiting = program.waiting[request.call.position]
    when {
        waiting != null && waiting.bodySha256 != sha256 -> refuse(requestId, positionTakenRefusal(request.call))
        waiting != null -> joinWaitingCall(program, waiting, requestId)
        refusal != null -> refuse(requestId, refusal)
        else -> bufferCall(program, requestId, request, sha256)
    }
}

private fun ProgramWork.newCallRefusal(
    program: Program,
    request: CallRequest,
    sha256: String,
): Refusal? {
    val partition = partition(program.id)
    val failure = partition?.appendFailure
    val keyUse = keyUse(request)
    return when {
        keyUse != null && keyUse.bodyDigest != digestOfHex(sha256) -> keyReusedRefusal(request, keyUse)

        program.ending != null || program.endedMillis != null ->
            notStartedRefusal(request, RefusalReason.PROGRAM_ENDED, "the program has ended")

        partition?.draining == true -> handoverRefusal(request)

        failure != null -> notStartedRefusal(request, RefusalReason.HISTORY_UNAVAILABLE, failure, settings.retryAfterMillis)

        request.deadlineMillis <= nowMillis -> notStartedRefusal(request, RefusalReason.DEADLINE, "the deadline has passed")

        program.waiting.size >= settings.maxWaitingCalls -> bufferFullRefusal(program, request)

        else -> null
    }
}

internal fun ProgramWork.keyReusedRefusal(
    request: CallRequest,
    use: KeyUse,
): Refusal = notRunRefusal(RefusalReason.KEY_REUSED, "key '${request.key}' was used for another call, ${use.call}")

internal fun ProgramWork.handoverRefusal(request: CallRequest): Refusal =
    notStartedRefusal(request, RefusalReason.NOT_OWNER, "the partition is being handed over", settings.retryAfterMillis)

private fun ProgramWork.bufferFullRefusal(
    program: Program,
    request: CallRequest,
): Refusal =
    notStartedRefusal(
        request,
        RefusalReason.POSITION_GAP,
        "the buffer is full: ${program.waiting.size} calls wait for position ${program.nextPosition}",
        settings.retryAfterMillis,
    )

/**
 * Refusal of a call without a record in the journal. Such a call was not run, unless a call with the same idempotency key
 * was started at another position.
 */
internal fun ProgramWork.notStartedRefusal(
    request: CallRequest,
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
): Refusal {
    val use = keyUse(request) ?: return notRunRefusal(reason, message, retryAfterMillis)
    val started = "$message; key '${request.key}' belongs to call ${use.call}, which was started"
    return refusal(RunOutcome.MAY_HAVE_RUN, reason, started, STEP, settings.retryAfterMillis)
}

/** The earlier call with the key of [request]. It applies also where [request] is marked as repeatable. */
internal fun ProgramWork.keyUse(request: CallRequest): KeyUse? =
    request.key?.let { program(request.call.program.root)?.keys?.get(digestOf(it)) }?.takeIf { it.call != request.call }

private fun ProgramWork.joinWaitingCall(
    program: Program,
    waiting: WaitingCall,
    requestId: Long,
) {
    val call = waiting.request.call
    addRequest(requestId, call)
    val joined = waiting.copy(waiters = waiting.waiters.add(requestId))
    updateProgram(program.id) { it.copy(waiting = it.waiting.put(call.position, joined)) }
    effects += AttachStream(requestId, call)
}

private fun ProgramWork.bufferCall(
    program: Program,
    requestId: Long,
    request: CallRequest,
    sha256: String,
) {
    val waiting = WaitingCall(request, sha256, persistentListOf(requestId), nowMillis)
    addRequest(requestId, request.call)
    updateProgram(program.id) { it.copy(waiting = it.waiting.put(request.call.position, waiting)) }
    startNextCall(program.id)
    if (program(program.id)?.waiting?.containsKey(request.call.position) == true) {
        addTimer(waitingDeadlineMillis(waiting), Timer.WaitingTimeout(request.call))
    }
}

internal fun ProgramWork.waitingDeadlineMillis(waiting: WaitingCall): Long =
    minOf(waiting.submittedMillis + settings.maxWaitingMillis, waiting.request.deadlineMillis)

/** Removes a call from the buffer and refuses all requests that wait for it. */
internal fun ProgramWork.refuseWaitingCall(
    program: ProgramId,
    waiting: WaitingCall,
    refusal: Refusal,
) {
    updateProgram(program) { it.copy(waiting = it.waiting.remove(waiting.request.call.position)) }
    waiting.waiters.forEach { refuse(it, refusal) }
}
