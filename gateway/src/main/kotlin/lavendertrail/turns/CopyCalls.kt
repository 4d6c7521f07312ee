package lavendertrail.turns

import io.grpc.MethodDescriptor
import lavendertrail.serving.TurnHost
import lavendertrail.turns.TurnClient.HostQuery
import lavendertrail.turns.TurnClient.ReplyOutcome

/**
 * Sends [record] to hosts in the order of [rankHosts] until [TurnHosts.copies] of them have stored it on disk, and reports whether they
 * have. Begins again by the new list if the list of hosts changes meanwhile.
 */
internal fun <Q : Any> TurnClient.storeCopies(
    method: MethodDescriptor<Q, KeepReply>,
    record: Q,
    timeoutMillis: Long,
    rankHosts: () -> List<TurnHost>,
    onDone: (isStored: Boolean) -> Unit,
) {
    val list = hosts
    if (!list.isSufficient) return onDone(false)
    val deadline = deadline(timeoutMillis)
    var copiesStored = 0
    queryHosts(
        method,
        record,
        HostQuery(rankHosts(), list.copies, timeoutMillis),
        onReply = { reply ->
            if (reply.isKept) copiesStored++
            if (copiesStored >= list.copies) ReplyOutcome.SUFFICIENT else ReplyOutcome.of(reply.isKept)
        },
        onEnd = {
            if (copiesStored < list.copies && isListOutdated(list, deadline)) {
                storeCopies(method, record, remainingMillis(deadline), rankHosts, onDone)
            } else {
                onDone(copiesStored >= list.copies)
            }
        },
    )
}
