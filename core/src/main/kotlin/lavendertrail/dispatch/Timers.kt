package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.ServerId

internal data class TimerKey(
    val dueMillis: Long,
    val number: Long,
) : Comparable<TimerKey> {
    override fun compareTo(other: TimerKey): Int = compareValuesBy(this, other, TimerKey::dueMillis, TimerKey::number)
}

/** What is due at a [TimerKey]. A timer of a call that has left the phase it was set for does nothing. */
internal sealed interface Timer {
    data class Deadline(
        val call: CallId,
    ) : Timer

    /** The call's rank may have changed: it waited long, or its program's deadline is near. */
    data class Rerank(
        val call: CallId,
    ) : Timer

    data class HoldEnd(
        val call: CallId,
    ) : Timer

    data class Verdict(
        val server: ServerId,
    ) : Timer

    data class FindEnd(
        val call: CallId,
    ) : Timer

    /** The state of a recovered tool call is asked for again. */
    data class AskAgain(
        val call: CallId,
    ) : Timer

    /** A server that got no new work for a while may get some again. */
    data class Wake(
        val server: ServerId,
    ) : Timer

    /** A server that the host list no longer names is given up unless it was heard of in between. */
    data class Missing(
        val server: ServerId,
        val sinceMillis: Long,
    ) : Timer
}
