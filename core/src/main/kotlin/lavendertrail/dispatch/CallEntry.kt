package lavendertrail.dispatch

import lavendertrail.model.ServerId
import lavendertrail.reducer.DispatchCall

/** Phase of a call between DispatchRequested and DispatchFinished. */
internal enum class Phase {
    /** Servers are queried for a recovered call: engines for its stream, the servers of a tool for its state. */
    FINDING,
    QUEUED,

    /** Waits for a slot at the server that has its prompt prefix cached. */
    HELD,

    /** A suspected poison request, which waits for a server on which it runs alone. */
    ISOLATING,

    /** The same request runs on other servers, and on one more it could crash more than the permitted number. */
    FINGERPRINT_WAIT,

    /** The attempt has ended. After a lost connection, a repeatable model call stays here until it is known whether the server crashed. */
    VERDICT,
    RUNNING,
}

internal data class CallEntry(
    val call: DispatchCall,
    val target: Target,
    val enqueuedMillis: Long,
    val sequence: Long,
    /** When the call entered its phase. */
    val phaseSinceMillis: Long,
    val phase: Phase = Phase.QUEUED,
    val rank: RankKey? = null,
    val attempts: Int = 0,
    val attempt: RunningAttempt? = null,
    /** An attempt was sent to a server and its outcome is unknown. */
    val mayHaveRun: Boolean = false,
    /** An attempt was executed and answered with an error. */
    val hasRun: Boolean = false,
    val triedServers: Set<ServerId> = emptySet(),
    val timers: List<TimerKey> = emptyList(),
    val holdAllowed: Boolean = true,
    /** The program moved to another node: a running attempt may finish here, but no further attempt is started. */
    val programMoved: Boolean = false,
    /** The server that the call waits for in [Phase.HELD], [Phase.ISOLATING] and [Phase.VERDICT]. */
    val awaitedServer: ServerId? = null,
)

/** An attempt that was sent to [server] and has not finished. */
internal data class RunningAttempt(
    val server: ServerId,
    val startedMillis: Long,
    val uncachedTokens: Int,
    /** Prompt tokens that this node sent to the server earlier and that were not computed when the attempt started. */
    val prefillTokensAhead: Int,
    val chargedMillis: Double,
    val runningAtStart: Int,
    val resume: Boolean = false,
    val isolated: Boolean = false,
    val firstTokenMillis: Long? = null,
)
