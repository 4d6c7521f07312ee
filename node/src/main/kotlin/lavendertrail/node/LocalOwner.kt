package lavendertrail.node

import lavendertrail.history.HistoryRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AnswerEnded
import lavendertrail.reducer.AnswerOpened
import lavendertrail.reducer.AttachStream
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.CallerGone
import lavendertrail.reducer.ChildOpenRequested
import lavendertrail.reducer.Event
import lavendertrail.reducer.HistoryRequested
import lavendertrail.reducer.ProgramEndRequested
import lavendertrail.reducer.ProgramOpenRequested
import lavendertrail.reducer.RefuseRequest
import lavendertrail.reducer.SettleRequested
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Handles requests to programs that this node owns: turns them into events, and the reducer's answers into replies. */
internal class LocalOwner(
    private val hub: StreamHub,
    private val emit: (Event) -> Unit,
) {
    private val nextId = AtomicLong(1)
    private val pending = ConcurrentHashMap<Long, PendingRequest>()

    /** Number of requests that wait for an answer. */
    val pendingCount: Int get() = pending.size

    /** Hands [request] to the reducer and returns after the final reply, or after [limitMillis] with a refusal. */
    fun submit(
        request: SubmitRequest,
        limitMillis: Long,
        onReply: (SubmitReply) -> Unit,
    ) {
        val pendingRequest = PendingRequest(nextId.getAndIncrement(), request, onReply)
        pending[pendingRequest.id] = pendingRequest
        emit(pendingRequest.toEvent())
        try {
            if (!pendingRequest.await(limitMillis)) pendingRequest.finish(SubmitReply.Refused(timedOut(limitMillis)))
        } finally {
            pending.remove(pendingRequest.id)
            if (request is SubmitRequest.Call) hub.detach(request.request.call, pendingRequest.id)
            if (pendingRequest.callerGone) emit(CallerGone(pendingRequest.id))
        }
    }

    /** Refuses each pending request, for a node that is killed. */
    fun refuseAll(refusal: Refusal): Unit = pending.values.forEach { it.finish(SubmitReply.Refused(refusal)) }

    fun attach(effect: AttachStream) {
        val pendingRequest = pending[effect.requestId] ?: return
        attach(pendingRequest, effect.call)
    }

    /** Attaches the pending requests whose call is about to be sent; [body] is the call with the history prepended. */
    fun attachPending(
        call: CallId,
        body: CallBody,
    ) {
        pending.values.forEach { pendingRequest ->
            val request = pendingRequest.request as? SubmitRequest.Call
            if (request != null && request.request.call == call && body.endsWith(request.request.body)) attach(pendingRequest, call)
        }
    }

    fun answer(effect: AnswerCall) {
        hub.finish(effect.call, (effect.result as? CallResult.Answered)?.text)
        finish(effect.requestId, SubmitReply.Call(effect.result))
    }

    fun answer(effect: AnswerOpened): Unit = finish(effect.requestId, SubmitReply.Opened(effect.program))

    fun answer(effect: AnswerEnded): Unit = finish(effect.requestId, SubmitReply.Ended(effect.total))

    fun answerHistory(
        requestId: Long,
        records: List<HistoryRecord>,
    ): Unit = finish(requestId, SubmitReply.History(records))

    fun refuse(effect: RefuseRequest): Unit = finish(effect.requestId, SubmitReply.Refused(effect.refusal))

    private fun attach(
        pendingRequest: PendingRequest,
        call: CallId,
    ) {
        val request = pendingRequest.request as? SubmitRequest.Call ?: return
        if (request.stream) hub.attach(call, pendingRequest.id, request.fromByte, pendingRequest::deliverText)
    }

    private fun finish(
        requestId: Long,
        reply: SubmitReply,
    ) {
        pending[requestId]?.finish(reply)
    }

    private fun timedOut(limitMillis: Long): Refusal =
        Refusal(
            outcome = RunOutcome.MAY_HAVE_RUN,
            reason = RefusalReason.DEADLINE,
            message = "no answer within $limitMillis ms",
            step = "owner",
        )
}

private fun PendingRequest.toEvent(): Event =
    when (request) {
        is SubmitRequest.Open -> ProgramOpenRequested(id, request.program, request.spec)
        is SubmitRequest.OpenChild -> ChildOpenRequested(id, request.program, request.childNumber, request.spec)
        is SubmitRequest.Call -> CallSubmitted(id, request.request)
        is SubmitRequest.End -> ProgramEndRequested(id, request.program, request.reason)
        is SubmitRequest.History -> HistoryRequested(id, request.program)
        is SubmitRequest.Settle -> SettleRequested(id, request.call, request.outcome, request.usage, request.settledBy)
    }

/** Whether this body is [requested], possibly after earlier messages; a caller with another body must not receive the text. */
private fun CallBody.endsWith(requested: CallBody): Boolean =
    when {
        this is CallBody.ModelCall && requested is CallBody.ModelCall ->
            model == requested.model &&
                maxTokens == requested.maxTokens &&
                temperature == requested.temperature &&
                messages.size >= requested.messages.size &&
                messages.subList(messages.size - requested.messages.size, messages.size) == requested.messages

        else -> this == requested
    }
