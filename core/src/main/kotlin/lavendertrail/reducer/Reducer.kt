package lavendertrail.reducer

import lavendertrail.config.reduceConfig
import lavendertrail.dispatch.reduceDispatch
import lavendertrail.membership.reduceMembership
import lavendertrail.program.reducePrograms

private typealias SubReducer = (NodeState, TimedEvent) -> Step

private val subReducers: List<SubReducer> = listOf(::reduceConfig, ::reduceMembership, ::reducePrograms, ::reduceDispatch)

/**
 * Handles one event. All decisions of a node are made here. Signals that sub-reducers raise are handled in the same step, in
 * the order in which they were raised.
 *
 * ```kotlin
 * val step = reduce(state, TimedEvent(nowMillis, seed, Tick))
 * runner.execute(step.effects)
 * ```
 */
public fun reduce(
    state: NodeState,
    timed: TimedEvent,
): Step {
    var current = state
    val effects = mutableListOf<Effect>()
    val pending = ArrayDeque<Event>()
    pending += timed.event
    while (pending.isNotEmpty()) {
        val event = timed.copy(event = pending.removeFirst())
        for (subReducer in subReducers) {
            val step = subReducer(current, event)
            current = step.state
            effects += step.effects
            pending += step.signals
        }
    }
    return Step(current, effects)
}
