package lavendertrail.program

import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import lavendertrail.reducer.CallSubmitted
import lavendertrail.reducer.CallerGone
import lavendertrail.reducer.ChildOpenRequested
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.HistoryAppended
import lavendertrail.reducer.HistoryRequested
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PartitionAcquired
import lavendertrail.reducer.PartitionDraining
import lavendertrail.reducer.PartitionLost
import lavendertrail.reducer.ProgramEndRequested
import lavendertrail.reducer.ProgramOpenRequested
import lavendertrail.reducer.SettleRequested
import lavendertrail.reducer.Step
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent

/**
 * The reducer for the programs that this node owns: call order, budgets and history.
 *
 * It writes ahead: a call is dispatched after the journal has acknowledged its `CallStarted`, and answered after the journal
 * has acknowledged its `CallFinished`. See [fold] for how the state follows from the records.
 */
internal fun reducePrograms(
    state: NodeState,
    timed: TimedEvent,
): Step {
    val work = ProgramWork(state, timed.nowMillis)
    when (val event = timed.event) {
        is ProgramOpenRequested -> work.openProgram(event)
        is ChildOpenRequested -> work.openChild(event)
        is CallSubmitted -> work.submitCall(event)
        is CallerGone -> work.onCallerGone(event)
        is ProgramEndRequested -> work.endProgram(event)
        is HistoryRequested -> work.answerHistory(event)
        is SettleRequested -> work.settleCall(event)
        is HistoryAppended -> work.onAppended(event)
        is HistoryAppendFailed -> work.onAppendFailed(event)
        is PartitionAcquired -> work.acquirePartition(event)
        is PartitionLost -> work.dropPartition(event.partition, event.reason)
        is PartitionDraining -> work.drainPartition(event.partition)
        is DispatchFinished -> work.onDispatchFinished(event)
        Tick -> work.onTick()
        else -> return Step(state)
    }
    return work.toStep()
}

private fun ProgramWork.onTick() {
    val (due, rest) = state.timers.takeDue(nowMillis)
    if (due.isEmpty()) return
    state = state.copy(timers = rest)
    due.forEach(::onTimer)
}

private fun ProgramWork.onTimer(timer: Timer) {
    when (timer) {
        is Timer.ProgramDeadline -> onProgramDeadline(timer.program)
        is Timer.CallDeadline -> onCallDeadline(timer.call)
        is Timer.WaitingTimeout -> onWaitingTimeout(timer.call)
        is Timer.CancelTimeout -> onCancelTimeout(timer.call)
        is Timer.ProgramEviction -> onRetentionElapsed(timer.program)
    }
}

private fun ProgramWork.onRetentionElapsed(id: ProgramId) {
    val ended = program(id)?.endedMillis ?: return
    if (ended + settings.endedRetentionMillis <= nowMillis) evictProgram(id)
}

/** Removes a request from the waiters of its call. The call itself continues. */
private fun ProgramWork.onCallerGone(event: CallerGone) {
    val call: CallId = state.callByRequestId[event.requestId] ?: return
    removeRequest(event.requestId)
    updateProgram(call.program) { program ->
        val waiting = program.waiting[call.position]
        program.copy(
            openCall = program.openCall?.let { it.copy(waiters = it.waiters.remove(event.requestId)) },
            waiting =
                if (waiting == null) {
                    program.waiting
                } else {
                    program.waiting.put(call.position, waiting.copy(waiters = waiting.waiters.remove(event.requestId)))
                },
        )
    }
}
