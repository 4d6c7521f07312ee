package lavendertrail.membership

import lavendertrail.reducer.NodeState
import lavendertrail.reducer.Step
import lavendertrail.reducer.TimedEvent

internal fun reduceMembership(
    state: NodeState,
    timed: TimedEvent,
): Step = Step(state)
