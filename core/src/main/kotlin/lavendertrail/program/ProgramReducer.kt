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
 * Order, budgets and history of the programs that this node owns.
 *
 * Every fact is a record first: a call leaves for dispatch after its `CallStarted` is acknowledged by the journal, and is
 * answered after its `CallFinished` is. See [fold] for how records make up the state.
 */
internal fun reducePrograms(
    state: NodeState,
    timed: TimedEvent,
): Step {
    val work = ProgramWork(state, timed.nowMillis)
    when (val event = timed.event) {
        is ProgramOpenRequested -> work.open(event)
        is ChildOpenRequested -> work.openChild(event)
        is CallSubmitted -> work.submit(event)
        is CallerGone -> work.callerGone(event)
        is ProgramEndRequested -> work.end(event)
        is HistoryRequested -> work.history(event)
        is SettleRequested -> work.settle(event)
        is HistoryAppended -> work.appended(event)
        is HistoryAppendFailed -> work.appendFailed(event)
        is PartitionAcquired -> work.acquire(event)
        is PartitionLost -> work.drop(event.partition, event.reason)
        is PartitionDraining -> work.drain(event.partition)
        is DispatchFinished -> work.dispatchFinished(event)
        Tick -> work.tick()
        else -> return Step(state)
    }
    return work.finish()
}

private fun ProgramWork.tick() {
    val (due, rest) = state.deadlines.takeDue(nowMillis)
    if (due.isEmpty()) return
    state = state.copy(deadlines = rest)
    due.forEach(::expire)
}

private fun ProgramWork.expire(due: Due) {
    when (due) {
        is Due.ProgramDeadline -> programDeadline(due.program)
        is Due.CallDeadline -> callDeadline(due.call)
        is Due.WaitingLimit -> waitingLimitPassed(due.call)
        is Due.CancelLimit -> cancelLimit(due.call)
        is Due.Forget -> forgetDue(due.program)
    }
}

private fun ProgramWork.forgetDue(id: ProgramId) {
    val ended = program(id)?.endedMillis ?: return
    if (ended + settings.endedRetentionMillis <= nowMillis) forget(id)
}

/** The call goes on; only nobody waits for it under this request any more. */
private fun ProgramWork.callerGone(event: CallerGone) {
    val call: CallId = state.requests[event.requestId] ?: return
    release(event.requestId)
    change(call.program) { program ->
        val waiting = program.waiting[call.position]
        program.copy(
            open = program.open?.let { it.copy(waiters = it.waiters.remove(event.requestId)) },
            waiting =
                if (waiting == null) {
                    program.waiting
                } else {
                    program.waiting.put(call.position, waiting.copy(waiters = waiting.waiters.remove(event.requestId)))
                },
        )
    }
}
