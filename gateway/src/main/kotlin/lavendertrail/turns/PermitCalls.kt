package lavendertrail.turns

import com.github.michaelbull.result.fold
import lavendertrail.serving.CrashEvidence
import lavendertrail.serving.PermitCandidate
import lavendertrail.serving.StatedLimit
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts

/*
 * Calls about servers with a request limit, and about requests that may crash servers. The list of turn hosts in the platform's store
 * names the one that paces a server, whether an entry host reaches it or not: two pacers would hand out the limit twice.
 */

/** Many times a round trip; a turn host that takes longer is stalled. */
private const val PERMIT_TIMEOUT_MILLIS = 200L

/** Reports are as good by an old list as by a new one, and the hosts of both need them. */
private const val ANY_LIST = 0L

/** A call on a connection that has gone silent gets no answer, and the next one is sent on a new connection. */
private const val PERMIT_ATTEMPTS = 2

/**
 * Asks for a permit to send a request to one of [candidates]. The question covers those candidates that share the pacer of the
 * first one, which [onDone] gets with the reply; the reply is null if the pacer doesn't reply in time.
 */
internal fun TurnClient.requestPermit(
    candidates: List<PermitCandidate>,
    maxWaitMillis: Long,
    attemptsLeft: Int = PERMIT_ATTEMPTS,
    onDone: (List<PermitCandidate>, PermitReply?) -> Unit,
) {
    val pacer = pacerOf(candidates.first().serverId)
    if (pacer == null || attemptsLeft == 0 || !isUsable(pacer)) return onDone(candidates, null)
    val shared = candidates.filter { pacerOf(it.serverId) == pacer }
    call(pacer, TurnMethods.permit, PermitRequest(shared, maxWaitMillis), PERMIT_TIMEOUT_MILLIS) { result ->
        result.fold({ onDone(shared, it) }, {
            onCallFailure(it)
            requestPermit(shared, maxWaitMillis, attemptsLeft - 1, onDone)
        })
    }
}

private fun TurnClient.pacerOf(serverId: String): TurnHost? = rankTurnHosts(serverId, hosts.hosts).firstOrNull()

/** Tells all turn hosts what a server states, so that entry hosts learn it with the next reservation. */
internal fun TurnClient.reportLimit(limit: StatedLimit) {
    val request = PermitRequest(emptyList(), limits = listOf(limit))
    for (host in hosts.hosts) call(host, TurnMethods.permit, request, PERMIT_TIMEOUT_MILLIS, ANY_LIST) { it.fold({}, onCallFailure) }
}

/** Tells the turn host at [address], or all of them, what may crash servers, so that they tell all entry hosts. */
internal fun TurnClient.reportCrashEvidence(
    evidence: List<CrashEvidence>,
    address: String?,
) {
    val request = PermitRequest(emptyList(), crashEvidence = evidence)
    for (host in hosts.hosts.filter { address == null || it.address == address }) {
        call(host, TurnMethods.permit, request, PERMIT_TIMEOUT_MILLIS, ANY_LIST) { result ->
            result.fold({}, {
                onCallFailure(it)
                recordMissedReport(host.address)
            })
        }
    }
}
