package lavendertrail.dispatch

import lavendertrail.model.CallBody
import lavendertrail.model.CallResult
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CallAttemptFailed
import lavendertrail.reducer.CallCompleted
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.DispatchRequested
import lavendertrail.reducer.Effect
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.Step
import lavendertrail.reducer.TimedEvent

/** Sends calls in order of arrival to the server with the fewest running calls of this node. */
internal fun reduceDispatch(
    state: NodeState,
    timed: TimedEvent,
): Step =
    when (val event = timed.event) {
        is DispatchRequested -> startWaiting(state.withDispatch { copy(waiting = waiting.add(event.call)) })
        is CallCompleted -> completed(state, event)
        is CallAttemptFailed -> failed(state, event)
        is DispatchCancelled -> cancelled(state, event)
        else -> Step(state)
    }

private fun completed(
    state: NodeState,
    event: CallCompleted,
): Step {
    val attempt =
        state.dispatch.core.running[event.call]
            ?.takeIf { it.attempt == event.attempt } ?: return Step(state)
    return finished(state, attempt, CallResult.Answered(event.text, event.usage, attempt.server))
}

private fun failed(
    state: NodeState,
    event: CallAttemptFailed,
): Step {
    val attempt =
        state.dispatch.core.running[event.call]
            ?.takeIf { it.attempt == event.attempt } ?: return Step(state)
    val outcome =
        when (event.failure) {
            AttemptFailure.REJECTED, AttemptFailure.BUSY -> RunOutcome.NOT_RUN
            AttemptFailure.ERROR -> RunOutcome.RUN
            else -> RunOutcome.MAY_HAVE_RUN
        }
    val refusal = Refusal(outcome, RefusalReason.SERVER_FAILED, event.message, null, "dispatch", attempt.server.value)
    return finished(state, attempt, CallResult.Refused(refusal))
}

private fun finished(
    state: NodeState,
    attempt: RunningAttempt,
    result: CallResult,
): Step {
    val id = attempt.call.call
    val step = startWaiting(state.withDispatch { copy(running = running.remove(id)) })
    return step.copy(signals = listOf(DispatchFinished(id, result, attempt.attempt)))
}

private fun cancelled(
    state: NodeState,
    event: DispatchCancelled,
): Step {
    val refusal = Refusal(RunOutcome.NOT_RUN, RefusalReason.CANCELLED, "call ${event.call} was cancelled", null, "dispatch")
    val attempt = state.dispatch.core.running[event.call]
    if (attempt != null) {
        val step = finished(state, attempt, CallResult.Refused(refusal.copy(outcome = RunOutcome.MAY_HAVE_RUN)))
        return step.copy(effects = listOf(CancelAttempt(event.call, attempt.attempt, attempt.server)) + step.effects)
    }
    val waiting =
        state.dispatch.core.waiting
            .firstOrNull { it.call == event.call } ?: return Step(state)
    val next = state.withDispatch { copy(waiting = this.waiting.remove(waiting)) }
    return Step(next, signals = listOf(DispatchFinished(event.call, CallResult.Refused(refusal), attempts = 0)))
}

private fun startWaiting(state: NodeState): Step {
    var next = state
    val effects = mutableListOf<Effect>()
    for (call in state.dispatch.core.waiting) {
        val server = leastLoaded(next, call) ?: continue
        val attempt = RunningAttempt(call, attempt = 1, server)
        next = next.withDispatch { copy(waiting = waiting.remove(call), running = running.put(call.call, attempt)) }
        effects += StartAttempt(call.call, 1, server, call.body, call.key, 0, call.deadlineMillis, call.recovered, 0)
    }
    return Step(next, effects)
}

private fun leastLoaded(
    state: NodeState,
    call: DispatchCall,
): ServerId? =
    candidates(state, call)
        .map { id ->
            id to
                state.dispatch.core.running.values
                    .count { it.server == id }
        }.filter { (id, running) -> running < (state.config.servers[id]?.maxRunningCalls ?: 0) }
        .minByOrNull { it.second }
        ?.first

private fun candidates(
    state: NodeState,
    call: DispatchCall,
): List<ServerId> =
    when (val body = call.body) {
        is CallBody.ModelCall ->
            state.config.servers.values
                .filter { body.model in it.models }
                .map { it.server }
        is CallBody.ToolCall ->
            state.config.tools[body.tool]
                ?.servers
                .orEmpty()
        is CallBody.ToolResult -> emptyList()
    }

private fun NodeState.withDispatch(change: DispatchCore.() -> DispatchCore): NodeState =
    copy(dispatch = DispatchState(dispatch.core.change()))
