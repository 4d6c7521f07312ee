package lavendertrail.reducer

import kotlinx.serialization.Serializable

/** Anything that can change the state of a node. Events are serializable, so that a log of them can be replayed. */
@Serializable
public sealed interface Event

/** An [Event] that one sub-reducer raises for the others; it is handled within the same step. */
@Serializable
public sealed interface Signal : Event

/** Raised by the runner at its tick interval. All time limits are checked on this event. */
@Serializable
public data object Tick : Event

/** An [event] with the time at which it is handled and the seed of the random numbers that the step may use. */
@Serializable
public data class TimedEvent(
    public val nowMillis: Long,
    public val seed: Long,
    public val event: Event,
)
