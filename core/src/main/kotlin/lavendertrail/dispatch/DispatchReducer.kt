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
 * Nothing here steps over all programs or all queued calls: an event changes a few entries of sorted structures, and
 * then starts what has become possible for the targets that it concerns.
 */
internal fun reduceDispatch(
    state: NodeState,
    timed: TimedEvent,
): Step {
    val event = timed.event
    val handle = handlerOf(event) ?: return Step(state)
    return DispatchWork(state, timed).apply(handle).step()
}

private fun handlerOf(event: Event): (DispatchWork.() -> Unit)? =
    when (event) {
        is DispatchRequested -> {
            { request(event) }
        }
        is DispatchCancelled -> {
            { cancel(event) }
        }
        is CallFirstToken -> {
            { firstToken(event) }
        }
        is CallCompleted -> {
            { completed(event) }
        }
        is CallAttemptFailed -> {
            { failed(event) }
        }
        is StreamFound -> {
            { streamFound(event) }
        }
        is ServerLoadReported -> {
            { loadReported(event) }
        }
        is ServerReachability -> {
            { reachability(event) }
        }
        is CacheEventsReceived -> {
            { cacheEvents(event) }
        }
        is HostListReceived -> {
            { hostsReceived(event) }
        }
        is PinsReported -> {
            { pinsReported(event) }
        }
        is PoisonLifted -> {
            { poisonLifted(event) }
        }
        is PoisonLearned -> {
            { poisonLearned(event) }
        }
        is ModelOrderEnded -> {
            { orderEnded(event) }
        }
        is ProgramPaused -> {
            { paused(event) }
        }
        is ProgramResumed -> {
            { resumed(event) }
        }
        is ProgramGone -> {
            { gone(event) }
        }
        is ProbeReceived -> {
            { probed(event.message) }
        }
        is ProbeAnswered -> {
            { probed(event.message) }
        }
        is PartitionAcquired -> {
            { sweepAfterTakeover() }
        }
        is ConfigApplied -> {
            { pumpAll() }
        }
        is Tick -> {
            { tick() }
        }
        else -> null
    }
