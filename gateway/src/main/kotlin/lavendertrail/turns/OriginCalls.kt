package lavendertrail.turns

import lavendertrail.model.StepError
import lavendertrail.serving.StreamOrigin
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts
import lavendertrail.turns.TurnClient.HostQuery
import lavendertrail.turns.TurnClient.ReplyOutcome

/*
 * Calls about the origins of streams. The copies of an origin are at the turn hosts that rendezvous hashing names for the caller's
 * attempt, so that another entry host asks these first.
 */

/** A stream goes on while its origin is stored, so there is time to ask another host in place of a slow one. */
private const val STORE_ORIGIN_TIMEOUT_MILLIS = 1_000L

/** Stores the origin at as many turn hosts as hold a copy of a turn, and reports whether it is. */
internal fun TurnClient.storeOrigin(
    record: OriginRecord,
    onDone: (isStored: Boolean) -> Unit = {},
    timeoutMillis: Long = STORE_ORIGIN_TIMEOUT_MILLIS,
) {
    storeCopies(TurnMethods.keepOrigin, record, timeoutMillis, { hostsOfStream(record.attemptId) }) { isStored ->
        if (!isStored) onCallFailure(StepError("store origin", record.attemptId, "fewer than ${hosts.copies} turn hosts stored it"))
        onDone(isStored)
    }
}

/**
 * Reports the origin of the stream that the caller's attempt [attemptId] began, or null with whether it is certain that no turn
 * host has it.
 */
internal fun TurnClient.loadOrigin(
    attemptId: String,
    timeoutMillis: Long,
    onDone: (origin: StreamOrigin?, isCertain: Boolean) -> Unit,
) {
    if (!isReachable) return onDone(null, false)
    val list = hosts
    val deadline = deadline(timeoutMillis)
    var origin: StreamOrigin? = null
    var hostsWithoutOrigin = 0
    queryHosts(
        TurnMethods.findOrigin,
        OriginRequest(attemptId),
        HostQuery(hostsOfStream(attemptId), 1, timeoutMillis),
        onReply = { reply ->
            origin = origin ?: reply.origin
            if (reply.origin == null && reply.isComplete) hostsWithoutOrigin++
            if (origin != null) ReplyOutcome.SUFFICIENT else ReplyOutcome.NOT_COUNTED
        },
        onEnd = {
            if (origin == null && isListOutdated(list, deadline)) {
                loadOrigin(attemptId, remainingMillis(deadline), onDone)
            } else {
                onDone(origin, hostsWithoutOrigin >= list.hostsOfProof(departedCount = 0))
            }
        },
    )
}

/** The hosts in the order in which they are asked about the stream that the attempt [attemptId] began. */
internal fun TurnClient.hostsOfStream(attemptId: String): List<TurnHost> = rankTurnHosts(attemptId, hosts.hosts).sortedBy { !isUsable(it) }
