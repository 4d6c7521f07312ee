package lavendertrail.dispatch

import lavendertrail.reducer.NodeState
import lavendertrail.reducer.Step
import lavendertrail.reducer.TimedEvent

internal fun reduceDispatch(
    state: NodeState,
    timed: TimedEvent,
): Step = Step(state)
