package lavendertrail.turns

import lavendertrail.model.StepError
import lavendertrail.serving.HistoryResult
import lavendertrail.turns.TurnClient.HostQuery
import lavendertrail.turns.TurnClient.ReplyOutcome

/*
 * Storing turns and looking up chains of turns at the turn hosts.
 *
 * Hosts without a turn prove that it doesn't exist only by the current list: a host that the asking process doesn't know may have
 * it. So the list is read from the platform's store before a turn is reported as nonexistent, which callers of existing turns
 * never wait for.
 */

/**
 * Reports whether [TurnHosts.copies] hosts have stored the turn on disk. Turns of the [chain] that it continues are stored again
 * if they would expire before [chainNeededUntilEpochMillis], since the turn can't be continued without them.
 */
internal fun TurnClient.storeTurn(
    turn: TurnRecord,
    timeoutMillis: Long,
    chain: List<TurnRecord> = emptyList(),
    chainNeededUntilEpochMillis: Long = 0,
    onDone: (Boolean) -> Unit,
) {
    val turns = chain.withExtended(turn, chainNeededUntilEpochMillis)
    var remaining = turns.size
    var areStored = true
    for (record in turns) {
        storeSingleTurn(record, timeoutMillis) { isStored ->
            areStored = areStored && isStored
            if (--remaining == 0) onDone(areStored)
        }
    }
}

private fun TurnClient.storeSingleTurn(
    turn: TurnRecord,
    timeoutMillis: Long,
    onDone: (Boolean) -> Unit,
) {
    cache.put(turn)
    storeCopies(TurnMethods.keep, turn, timeoutMillis, { rankedHosts(turn.programId) }, onDone)
}

/** Reports the chain of turns that ends with [turnId], oldest first. */
internal fun TurnClient.loadChain(
    turnId: String,
    programId: String?,
    timeoutMillis: Long,
    onDone: (HistoryResult, List<TurnRecord>) -> Unit,
) {
    continueChain(ChainSearch(turnId, programId.orEmpty(), deadline(timeoutMillis), onDone))
}

private class ChainSearch(
    var missingTurnId: String,
    val programId: String,
    val deadlineNanos: Long,
    val onDone: (HistoryResult, List<TurnRecord>) -> Unit,
) {
    /** Newest first. */
    val found = mutableListOf<TurnRecord>()

    /** Whether the first turn of the chain has been found. */
    var isComplete = false
        private set

    /** Adds [turn] if it is the next missing one. */
    fun addIfMissing(turn: TurnRecord): Boolean {
        if (isComplete || turn.id != missingTurnId) return false
        found += turn
        val previous = turn.previousId
        if (previous == null) isComplete = true else missingTurnId = previous
        return true
    }

    fun endUncertain() = onDone(HistoryResult.UNCERTAIN, emptyList())
}

private fun TurnClient.continueChain(search: ChainSearch) {
    while (!search.isComplete) {
        val turn = cache[search.missingTurnId] ?: break
        search.addIfMissing(turn)
    }
    if (search.isComplete) return search.onDone(HistoryResult.FOUND, search.found.reversed())
    if (!isReachable) return search.endUncertain()
    val list = hosts
    var hostsWithoutTurn = 0
    var isFound = false
    queryHosts(
        TurnMethods.chain,
        ChainRequest(search.missingTurnId),
        HostQuery(rankedHosts(search.programId), 1, remainingMillis(search.deadlineNanos)),
        onReply = { reply ->
            reply.turns.forEach(cache::put)
            isFound = reply.turns.count(search::addIfMissing) > 0 || isFound
            if (reply.turns.isEmpty() && reply.isComplete) hostsWithoutTurn++
            if (isFound) ReplyOutcome.SUFFICIENT else ReplyOutcome.NOT_COUNTED
        },
        onEnd = {
            when {
                isFound -> continueChain(search)
                isListOutdated(list, search.deadlineNanos) -> continueChain(search)
                search.found.isNotEmpty() -> endAtGap(search)
                hostsWithoutTurn < list.hostsOfProof(departedCount = 0) -> search.endUncertain()
                else -> confirmMissing(search, list, hostsWithoutTurn)
            }
        },
    )
}

/** Ends the search with the result that the current list allows, given [hostsWithoutTurn] hosts of [list] without the turn. */
private fun TurnClient.confirmMissing(
    search: ChainSearch,
    list: TurnHosts,
    hostsWithoutTurn: Int,
) {
    currentHosts.read { current ->
        if (current != null) updateHosts(TurnHosts(current.hosts, list.tolerance, current.revision))
        when {
            current == null -> search.endUncertain()
            current.revision != list.revision ->
                if (remainingMillis(search.deadlineNanos) > 0) continueChain(search) else search.endUncertain()
            hostsWithoutTurn >= list.hostsOfProof(current.departedCount) -> search.onDone(HistoryResult.NO_SUCH_TURN, emptyList())
            else -> search.endUncertain()
        }
    }
}

/** The turn that the caller named exists, so a missing earlier one doesn't show that there is no such turn. */
private fun TurnClient.endAtGap(search: ChainSearch) {
    val newest = search.found.first().id
    onCallFailure(StepError("load chain", newest, "the earlier turn ${search.missingTurnId} was not found"))
    search.endUncertain()
}
