package lavendertrail.config

import lavendertrail.reducer.NodeState
import lavendertrail.reducer.Step
import lavendertrail.reducer.TimedEvent

/** Keeps the configuration in force; see [ConfigState]. */
internal fun reduceConfig(
    state: NodeState,
    timed: TimedEvent,
): Step = Step(state)
