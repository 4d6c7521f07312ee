package lavendertrail.dispatch

import lavendertrail.model.ServerId
import lavendertrail.reducer.DispatchCall

/** Where a call is between DispatchRequested and DispatchFinished. */
internal enum class Phase {
    /** Engines are asked for the stream of a recovered call. */
    FINDING,
    QUEUED,

    /** Waits for a slot at the one server that holds its prefix. */
    HELD,

    /** A suspect that waits for a server of its own. */
    ISOLATING,

    /** The same request runs elsewhere, and running it on one more server could crash too many. */
    FINGERPRINT_WAIT,

    /** Its connection was lost, and whether the server crashed is not known yet. */
    VERDICT,
    RUNNING,
}

internal data class CallEntry(
    val call: DispatchCall,
    val target: Target,
    val enqueuedMillis: Long,
    val sequence: Long,
    /** Since when it is in its phase. */
    val sinceMillis: Long,
    val phase: Phase = Phase.QUEUED,
    val rank: RankKey? = null,
    val attempts: Int = 0,
    val attempt: RunningAttempt? = null,
    /** An attempt left for a server and its end is not known. */
    val mayHaveRun: Boolean = false,
    /** An attempt was executed and answered with an error. */
    val hasRun: Boolean = false,
    val triedServers: Set<ServerId> = emptySet(),
    val timers: List<TimerKey> = emptyList(),
    val mayHold: Boolean = true,
    /** Another node decides for the program now: a running attempt may end, and nothing is started any more. */
    val moved: Boolean = false,
    /** The server of [Phase.HELD], [Phase.ISOLATING] and [Phase.VERDICT]. */
    val waitsFor: ServerId? = null,
)

/** An attempt that was sent to [server] and has not ended. */
internal data class RunningAttempt(
    val server: ServerId,
    val startedMillis: Long,
    val uncachedTokens: Int,
    /** Prompt tokens that this node had sent there before and that were not computed yet. */
    val tokensAhead: Int,
    val chargedMillis: Double,
    val runningAtStart: Int,
    val resume: Boolean = false,
    val isolated: Boolean = false,
    val firstTokenMillis: Long? = null,
)
