package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.ServerId

internal data class TimerKey(
    val dueMillis: Long,
    val number: Long,
) : Comparable<TimerKey> {
    override fun compareTo(other: TimerKey): Int = compareValuesBy(this, other, TimerKey::dueMillis, TimerKey::number)
}

/** Action that is due at a [TimerKey]. A timer has no effect on a call that has left the phase for which it was set. */
internal sealed interface Timer {
    data class Deadline(
        val call: CallId,
    ) : Timer

    /** Computes the call's rank again, after its maximum wait in its class or near its program's deadline. */
    data class Rerank(
        val call: CallId,
    ) : Timer

    data class HoldTimeout(
        val call: CallId,
    ) : Timer

    data class CrashVerdict(
        val server: ServerId,
    ) : Timer

    data class FindTimeout(
        val call: CallId,
    ) : Timer

    /** Queries the state of a recovered tool call again. */
    data class ToolQueryRetry(
        val call: CallId,
    ) : Timer

    /** The backoff of a server ends; it may get new calls. */
    data class BackoffEnd(
        val server: ServerId,
    ) : Timer

    /** Treats a server missing from the host list as lost unless something was received from it since [sinceMillis]. */
    data class MissingServer(
        val server: ServerId,
        val sinceMillis: Long,
    ) : Timer
}
