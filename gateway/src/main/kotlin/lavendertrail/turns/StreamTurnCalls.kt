package lavendertrail.turns

import lavendertrail.model.StepError
import lavendertrail.turns.TurnClient.HostQuery
import lavendertrail.turns.TurnClient.ReplyOutcome

/*
 * Calls about turns whose callers resume their streams. The copies of an unfinished turn are at the turn hosts that rendezvous hashing
 * names for the attempt that began the stream, as those of its origin are.
 *
 * A look-up asks as many hosts as prove that nothing else is known of the stream, since several resumes may have gone on differently.
 */

/** A caller sees the end of its broken stream only after this call, and gives a silent one up after two seconds. */
private const val STORE_UNFINISHED_TIMEOUT_MILLIS = 1_000L

/** The pause before each further look-up of a part that isn't known yet; its entry host may still be about to store it. */
private val LOOKUP_PAUSES_MILLIS = listOf(50L, 100L)

/** Stores the unfinished [turn] at as many turn hosts as hold a copy of a finished one, and reports whether it is. */
internal fun TurnClient.storeUnfinishedTurn(
    turn: TurnRecord,
    onDone: (isStored: Boolean) -> Unit,
) {
    val streamId = turn.streamId.orEmpty()
    storeCopies(TurnMethods.keepUnfinished, turn, STORE_UNFINISHED_TIMEOUT_MILLIS, { hostsOfStream(streamId) }) { isStored ->
        if (!isStored) onCallFailure(StepError("store unfinished turn", turn.id, "fewer than ${hosts.copies} turn hosts stored it"))
        onDone(isStored)
    }
}

/**
 * Reports the turns of the stream with their output up to the event that [request] names, each of them once, and whether it is certain
 * that there are no others.
 */
internal fun TurnClient.findStreamTurns(
    request: StreamTurnsRequest,
    timeoutMillis: Long,
    onDone: (turns: List<TurnRecord>, isCertain: Boolean) -> Unit,
) = findStreamTurns(request, deadline(timeoutMillis), LOOKUP_PAUSES_MILLIS, onDone)

private fun TurnClient.findStreamTurns(
    request: StreamTurnsRequest,
    deadlineNanos: Long,
    pausesMillis: List<Long>,
    onDone: (turns: List<TurnRecord>, isCertain: Boolean) -> Unit,
) {
    if (!isReachable) return onDone(emptyList(), false)
    val list = hosts
    val requiredReplies = list.hostsOfProof(departedCount = 0)
    val turns = mutableListOf<TurnRecord>()
    var completeReplies = 0
    queryHosts(
        TurnMethods.findStreamTurns,
        request,
        HostQuery(hostsOfStream(request.streamId), requiredReplies, remainingMillis(deadlineNanos)),
        onReply = { reply ->
            turns += reply.turns
            if (reply.isComplete) completeReplies++
            if (completeReplies >= requiredReplies) ReplyOutcome.SUFFICIENT else ReplyOutcome.of(reply.isComplete)
        },
        onEnd = {
            val isCertain = completeReplies >= requiredReplies
            val pauseMillis = pausesMillis.firstOrNull()
            when {
                !isCertain && isListOutdated(list, deadlineNanos) -> findStreamTurns(request, deadlineNanos, pausesMillis, onDone)
                isCertain && turns.isEmpty() && pauseMillis != null && remainingMillis(deadlineNanos) > pauseMillis ->
                    schedule(pauseMillis) { findStreamTurns(request, deadlineNanos, pausesMillis.drop(1), onDone) }
                else -> onDone(turns.withoutRepeats(), isCertain)
            }
        },
    )
}

/** These turns without those that have the same content as an earlier one. */
internal fun List<TurnRecord>.withoutRepeats(): List<TurnRecord> =
    filterIndexed { index, turn -> subList(0, index).none { it.hasSameContent(turn) } }
