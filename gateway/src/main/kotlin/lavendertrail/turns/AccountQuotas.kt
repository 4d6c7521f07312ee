package lavendertrail.turns

import com.github.michaelbull.result.fold
import io.netty.channel.EventLoopGroup
import kotlinx.serialization.json.put
import lavendertrail.gateway.ClockCheck
import lavendertrail.gateway.StructuredLog
import lavendertrail.gateway.nowMillis
import lavendertrail.serving.QuotaHost
import lavendertrail.serving.QuotaVoter
import java.util.concurrent.TimeUnit

/**
 * A turn host's part in the quotas of accounts; see [QuotaHost]. Everything runs on the event loop. Without entry hosts that ask for
 * credit, no message is sent.
 */
internal class AccountQuotas(
    private val name: String,
    private val group: EventLoopGroup,
    private val log: StructuredLog,
    private val listing: () -> TurnHostListing,
) {
    private val peers = HashMap<String, TurnPeer>()
    private val clockCheck = ClockCheck()
    private var host = QuotaHost(name, voter = QuotaVoter(startedAtMillis = nowMillis()))
    private val members get() = listing().hosts.map { it.name }

    /** Starts the rounds of votes, on the event loop. */
    fun start() {
        group.next().scheduleAtFixedRate(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    fun decide(request: QuotaRequest): QuotaReply {
        checkClock()
        val (next, decision) = host.decide(request.holder, request.sequence, request.uses, members, nowMillis())
        replaceHost(next)
        return QuotaReply(decision.grants, decision.granter)
    }

    /** A candidate with an older list may count on hosts that have left. */
    fun vote(request: QuotaVoteRequest): QuotaVoteReply {
        if (request.listRevision < listing().revision) return QuotaVoteReply(false)
        val (next, isGiven) = host.vote(request.candidate, nowMillis())
        replaceHost(next)
        return QuotaVoteReply(isGiven)
    }

    private fun tick() {
        try {
            checkClock()
            val roundAtMillis = nowMillis()
            val (next, isAsking) = host.startRound(members, roundAtMillis)
            replaceHost(next)
            if (isAsking) askVoters(roundAtMillis)
        } catch (e: RuntimeException) {
            log.error("quota round failed", e)
        }
    }

    private fun askVoters(roundAtMillis: Long) {
        val list = listing()
        val others = list.hosts.filter { it.name != name }
        val addresses = others.mapTo(HashSet()) { it.address }
        for (address in peers.keys - addresses) peers.remove(address)?.close()
        for (other in others) {
            val peer = peers.getOrPut(other.address) { TurnPeer(other.address, group) }
            peer.call(TurnMethods.quotaVote, QuotaVoteRequest(name, list.revision), VOTE_TIMEOUT_MILLIS) { result ->
                checkClock()
                // A host that doesn't answer has no vote; the next round asks it again.
                val isGiven = result.fold({ it.isGiven }, { false })
                if (isGiven && roundAtMillis > pausedAtMillis) {
                    replaceHost(host.withVote(other.name, roundAtMillis, members, nowMillis()))
                }
            }
        }
    }

    /** When this process last stood still; votes that were asked for before may have lapsed. */
    private var pausedAtMillis = Long.MIN_VALUE

    private fun checkClock() {
        if (!clockCheck.hasPaused()) return
        pausedAtMillis = nowMillis()
        replaceHost(host.afterPause())
    }

    private fun replaceHost(next: QuotaHost) {
        val wasGranter = host.granter != null
        host = next
        val isGranter = next.granter != null
        if (isGranter != wasGranter) log.event(if (isGranter) "quota granter started" else "quota granter stopped") { put("host", name) }
    }

    fun close() {
        peers.values.forEach { it.close() }
        peers.clear()
    }

    private companion object {
        const val TICK_MILLIS = 50L
        const val VOTE_TIMEOUT_MILLIS = 400L
    }
}
