package lavendertrail.dispatch

import lavendertrail.reducer.CacheEventsReceived
import lavendertrail.reducer.CallAttemptFailed
import lavendertrail.reducer.CallCompleted
import lavendertrail.reducer.CallFirstToken
import lavendertrail.reducer.ConfigApplied
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.DispatchRequested
import lavendertrail.reducer.Event
import lavendertrail.reducer.HostListReceived
import lavendertrail.reducer.ModelOrderEnded
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PartitionAcquired
import lavendertrail.reducer.PinsReported
import lavendertrail.reducer.PoisonLearned
import lavendertrail.reducer.PoisonLifted
import lavendertrail.reducer.ProbeAnswered
import lavendertrail.reducer.ProbeReceived
import lavendertrail.reducer.ProgramGone
import lavendertrail.reducer.ProgramPaused
import lavendertrail.reducer.ProgramResumed
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.ServerReachability
import lavendertrail.reducer.Step
import lavendertrail.reducer.StreamFound
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent

/**
 * Decides where and when calls run. Each dispatched call ends in exactly one DispatchFinished.
 *
 * No event iterates over all programs or all queued calls. An event updates a few entries of sorted structures and then
 * starts the calls that can run now for the affected targets.
 */
internal fun reduceDispatch(
    state: NodeState,
    timed: TimedEvent,
): Step {
    val event = timed.event
    val handle = handlerOf(event) ?: return Step(state)
    return DispatchWork(state, timed).apply(handle).toStep()
}

private fun handlerOf(event: Event): (DispatchWork.() -> Unit)? =
    when (event) {
        is DispatchRequested -> {
            { handleDispatchRequested(event) }
        }
        is DispatchCancelled -> {
            { handleDispatchCancelled(event) }
        }
        is CallFirstToken -> {
            { handleFirstToken(event) }
        }
        is CallCompleted -> {
            { handleCallCompleted(event) }
        }
        is CallAttemptFailed -> {
            { handleAttemptFailed(event) }
        }
        is StreamFound -> {
            { handleStreamFound(event) }
        }
        is ServerLoadReported -> {
            { handleLoadReported(event) }
        }
        is ServerReachability -> {
            { handleReachability(event) }
        }
        is CacheEventsReceived -> {
            { handleCacheEvents(event) }
        }
        is HostListReceived -> {
            { handleHostList(event) }
        }
        is PinsReported -> {
            { handlePinsReported(event) }
        }
        is PoisonLifted -> {
            { handlePoisonLifted(event) }
        }
        is PoisonLearned -> {
            { handlePoisonLearned(event) }
        }
        is ModelOrderEnded -> {
            { handleModelOrderEnded(event) }
        }
        is ProgramPaused -> {
            { handleProgramPaused(event) }
        }
        is ProgramResumed -> {
            { handleProgramResumed(event) }
        }
        is ProgramGone -> {
            { handleProgramGone(event) }
        }
        is ProbeReceived -> {
            { handleProbe(event.message) }
        }
        is ProbeAnswered -> {
            { handleProbe(event.message) }
        }
        is PartitionAcquired -> {
            { scheduleFullSweeps() }
        }
        is ConfigApplied -> {
            { startAllQueuedCalls() }
        }
        is Tick -> {
            { handleTick() }
        }
        else -> null
    }
