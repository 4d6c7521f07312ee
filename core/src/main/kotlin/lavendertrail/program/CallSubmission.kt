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

/** Gives a duplicate the call that is there, and lets a new call wait for its turn. */
internal fun ProgramWork.submit(event: CallSubmitted) {
    val request = event.request
    val refusal = programRefusal(request.call.program)
    val program = program(request.call.program)
    when {
        refusal != null -> refuse(event.requestId, refusal)
        program == null -> submitToAbsent(event.requestId, request)
        program.spec.account != request.account -> refuse(event.requestId, wrongAccount(program, request))
        else -> submitTo(program, event.requestId, request, bodySha256(request.body))
    }
}

/** Why no request for [id] can be handled here at all. */
internal fun ProgramWork.programRefusal(id: ProgramId): Refusal? {
    val partition = partition(id) ?: return notOwner(id)
    val damage = partition.damaged[id] ?: return null
    return refusal(RunOutcome.MAY_HAVE_RUN, RefusalReason.HISTORY_UNAVAILABLE, damage, "program replay")
}

internal fun ProgramWork.notOwner(id: ProgramId): Refusal =
    notRun(RefusalReason.NOT_OWNER, "partition ${id.partition} is not held by this node", settings.retryAfterMillis)

internal fun ProgramWork.notRun(
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
): Refusal = refusal(RunOutcome.NOT_RUN, reason, message, STEP, retryAfterMillis)

private fun ProgramWork.submitToAbsent(
    requestId: Long,
    request: CallRequest,
) {
    if (isForgotten(request.call.program)) {
        effects += AnswerFromHistory(requestId, request.call, bodySha256(request.body), Int.MAX_VALUE)
    } else {
        refuse(requestId, notRun(RefusalReason.UNKNOWN_PROGRAM, "program ${request.call.program} was not opened"))
    }
}

internal fun ProgramWork.isForgotten(id: ProgramId): Boolean = digestOf(id.value) in partition(id)?.forgotten.orEmpty()

private fun ProgramWork.wrongAccount(
    program: Program,
    request: CallRequest,
): Refusal =
    notRun(
        RefusalReason.NOT_ALLOWED,
        "program ${program.id} belongs to account ${program.spec.account}, the call came for ${request.account}",
    )

private fun ProgramWork.submitTo(
    program: Program,
    requestId: Long,
    request: CallRequest,
    sha256: String,
) {
    val position = request.call.position
    val digest = digestOfHex(sha256)
    val open = program.open?.takeIf { it.position == position }
    val done = program.recent[position]?.takeUnless { (it.reopensAtMillis ?: Long.MAX_VALUE) <= nowMillis }
    when {
        open != null && open.bodyDigest != digest -> refuse(requestId, positionTaken(request.call))
        open != null -> joinOpen(program, open, requestId)
        done != null && done.bodyDigest != digest -> refuse(requestId, positionTaken(request.call))
        done != null -> answerStored(requestId, request.call, done)
        position < program.nextPosition -> answerFromHistory(requestId, request.call, sha256)
        else -> submitNew(program, requestId, request, sha256)
    }
}

private fun ProgramWork.positionTaken(call: CallId): Refusal =
    notRun(RefusalReason.POSITION_TAKEN, "position ${call.position} of ${call.program} has another call")

private fun ProgramWork.joinOpen(
    program: Program,
    open: CallEntry,
    requestId: Long,
) {
    val call = CallId(program.id, open.position)
    waitFor(requestId, call)
    change(program.id) { it.copy(open = open.copy(waiters = open.waiters.add(requestId))) }
    effects += AttachStream(requestId, open.sameAs ?: call)
}

private fun ProgramWork.answerFromHistory(
    requestId: Long,
    call: CallId,
    sha256: String?,
) {
    release(requestId)
    effects += AnswerFromHistory(requestId, call, sha256, program(call.program)?.durableRecords ?: Int.MAX_VALUE)
}

/** Answers with the durable outcome; a call that shares a key has the outcome of the first call with it. */
internal fun ProgramWork.answerStored(
    requestId: Long,
    call: CallId,
    entry: CallEntry,
) {
    val first = entry.sameAs
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
        waiting != null && waiting.bodySha256 != sha256 -> refuse(requestId, positionTaken(request.call))
        waiting != null -> joinWaiting(program, waiting, requestId)
        refusal != null -> refuse(requestId, refusal)
        else -> wait(program, requestId, request, sha256)
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
        keyUse != null && keyUse.bodyDigest != digestOfHex(sha256) -> keyReused(request, keyUse)

        program.ending != null || program.endedMillis != null -> unstarted(request, RefusalReason.PROGRAM_ENDED, "the program has ended")

        partition?.draining == true -> handedOver(request)

        failure != null -> unstarted(request, RefusalReason.HISTORY_UNAVAILABLE, failure, settings.retryAfterMillis)

        request.deadlineMillis <= nowMillis -> unstarted(request, RefusalReason.DEADLINE, "the deadline has passed")

        program.waiting.size >= settings.maxWaitingCalls -> bufferFull(program, request)

        else -> null
    }
}

internal fun ProgramWork.keyReused(
    request: CallRequest,
    use: KeyUse,
): Refusal = notRun(RefusalReason.KEY_REUSED, "key '${request.key}' names another call, ${use.call}")

internal fun ProgramWork.handedOver(request: CallRequest): Refusal =
    unstarted(request, RefusalReason.NOT_OWNER, "the partition is being handed over", settings.retryAfterMillis)

private fun ProgramWork.bufferFull(
    program: Program,
    request: CallRequest,
): Refusal =
    unstarted(
        request,
        RefusalReason.POSITION_GAP,
        "${program.waiting.size} calls wait for position ${program.nextPosition}",
        settings.retryAfterMillis,
    )

/**
 * Refuses a call of which nothing is in the journal. It was not run, except where its key names a call that was started
 * at another position.
 */
internal fun ProgramWork.unstarted(
    request: CallRequest,
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
): Refusal {
    val use = keyUse(request) ?: return notRun(reason, message, retryAfterMillis)
    val started = "$message; the key '${request.key}' names ${use.call}, which was started"
    return refusal(RunOutcome.MAY_HAVE_RUN, reason, started, STEP, settings.retryAfterMillis)
}

/** The call that the key of [request] names, also where the caller now says that it may repeat. */
internal fun ProgramWork.keyUse(request: CallRequest): KeyUse? =
    request.key?.let { program(request.call.program.root)?.keys?.get(digestOf(it)) }?.takeIf { it.call != request.call }

private fun ProgramWork.joinWaiting(
    program: Program,
    waiting: WaitingCall,
    requestId: Long,
) {
    val call = waiting.request.call
    waitFor(requestId, call)
    val joined = waiting.copy(waiters = waiting.waiters.add(requestId))
    change(program.id) { it.copy(waiting = it.waiting.put(call.position, joined)) }
    effects += AttachStream(requestId, call)
}

private fun ProgramWork.wait(
    program: Program,
    requestId: Long,
    request: CallRequest,
    sha256: String,
) {
    val waiting = WaitingCall(request, sha256, persistentListOf(requestId), nowMillis)
    waitFor(requestId, request.call)
    change(program.id) { it.copy(waiting = it.waiting.put(request.call.position, waiting)) }
    startNext(program.id)
    if (program(program.id)?.waiting?.containsKey(request.call.position) == true) {
        remind(waitingLimit(waiting), Due.WaitingLimit(request.call))
    }
}

internal fun ProgramWork.waitingLimit(waiting: WaitingCall): Long =
    minOf(waiting.submittedMillis + settings.maxWaitingMillis, waiting.request.deadlineMillis)

/** Takes a call out of the buffer and refuses everyone who waits for it. */
internal fun ProgramWork.refuseWaiting(
    program: ProgramId,
    waiting: WaitingCall,
    refusal: Refusal,
) {
    change(program) { it.copy(waiting = it.waiting.remove(waiting.request.call.position)) }
    waiting.waiters.forEach { refuse(it, refusal) }
}
