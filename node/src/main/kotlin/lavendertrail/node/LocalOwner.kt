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

/** Requests to programs that this node owns: turns them into events, and answers of the reducer into replies. */
internal class LocalOwner(
    private val hub: StreamHub,
    private val emit: (Event) -> Unit,
) {
    private val nextId = AtomicLong(1)
    private val pending = ConcurrentHashMap<Long, PendingRequest>()

    /** Requests that wait for an answer. */
    val waiting: Int get() = pending.size

    /** Hands [request] to the reducer and returns after the final reply, or after [limitMillis] with a refusal. */
    fun submit(
        request: SubmitRequest,
        limitMillis: Long,
        onReply: (SubmitReply) -> Unit,
    ) {
        val waiting = PendingRequest(nextId.getAndIncrement(), request, onReply)
        pending[waiting.id] = waiting
        emit(waiting.toEvent())
        try {
            if (!waiting.await(limitMillis)) waiting.finish(SubmitReply.Refused(unanswered(limitMillis)))
        } finally {
            pending.remove(waiting.id)
            if (request is SubmitRequest.Call) hub.detach(request.request.call, waiting.id)
            if (waiting.gone) emit(CallerGone(waiting.id))
        }
    }

    /** Answers each waiting request; for a node that is killed. */
    fun refuseAll(refusal: Refusal): Unit = pending.values.forEach { it.finish(SubmitReply.Refused(refusal)) }

    fun attach(effect: AttachStream) {
        val waiting = pending[effect.requestId] ?: return
        attach(waiting, effect.call)
    }

    /** Attaches the requests whose call is about to be sent; [body] is the call with the history in front. */
    fun attachWaiting(
        call: CallId,
        body: CallBody,
    ) {
        pending.values.forEach { waiting ->
            val request = waiting.request as? SubmitRequest.Call
            if (request != null && request.request.call == call && body.endsWith(request.request.body)) attach(waiting, call)
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
        waiting: PendingRequest,
        call: CallId,
    ) {
        val request = waiting.request as? SubmitRequest.Call ?: return
        if (request.stream) hub.attach(call, waiting.id, request.fromByte, waiting::text)
    }

    private fun finish(
        requestId: Long,
        reply: SubmitReply,
    ) {
        pending[requestId]?.finish(reply)
    }

    private fun unanswered(limitMillis: Long): Refusal =
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

/** Whether this body is [asked], possibly with earlier messages in front; a caller with another body must not see the text. */
private fun CallBody.endsWith(asked: CallBody): Boolean =
    when {
        this is CallBody.ModelCall && asked is CallBody.ModelCall ->
            model == asked.model &&
                maxTokens == asked.maxTokens &&
                temperature == asked.temperature &&
                messages.size >= asked.messages.size &&
                messages.subList(messages.size - asked.messages.size, messages.size) == asked.messages

        else -> this == asked
    }
