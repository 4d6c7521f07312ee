package lavendertrail.program

import lavendertrail.reducer.NodeState
import lavendertrail.reducer.Step
import lavendertrail.reducer.TimedEvent

internal fun reducePrograms(
    state: NodeState,
    timed: TimedEvent,
): Step = Step(state)
