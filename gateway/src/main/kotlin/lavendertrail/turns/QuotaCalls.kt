package lavendertrail.turns

import com.github.michaelbull.result.fold
import lavendertrail.serving.QuotaDecision
import lavendertrail.serving.QuotaUse
import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts
import java.util.UUID

/**
 * Calls of an entry host to the turn host that grants credit of accounts. Any turn host can grant, and they agree on one of them;
 * entry hosts stay with it, and begin with the first usable one in an order that all of them share.
 */
internal class QuotaCalls(
    private val client: TurnClient,
    /** Called when no turn host grants, and when one does again. */
    private val onGranterChanged: (granter: String?) -> Unit = {},
) {
    /** Names the run of this process, whose credit is lost with it. */
    private val holder = UUID.randomUUID().toString()

    /** The turn host that is asked first: the one that granted last, or that another one has named. */
    private var granter: String? = null
    private var lastGranter: String? = null

    /** Calls since the start of the process. */
    var callCount = 0L
        private set

    /** Reports [uses] to the granter. [onDone] gets its decision, or null if none grants in time. */
    fun report(
        sequence: Long,
        uses: List<QuotaUse>,
        attemptsLeft: Int = ATTEMPTS,
        onDone: (QuotaDecision?) -> Unit,
    ) {
        val host = if (attemptsLeft == 0) null else nextHost()
        if (host == null) {
            noteGranter(null)
            return onDone(null)
        }
        callCount++
        client.call(host, TurnMethods.quota, QuotaRequest(holder, sequence, uses), TIMEOUT_MILLIS) { result ->
            result.fold({ reply ->
                granter = reply.granter
                val grants = reply.grants
                if (grants != null) {
                    noteGranter(host.name)
                    onDone(QuotaDecision(grants, reply.granter))
                } else {
                    // Without a named granter, the hosts are still choosing one; the requests ask again soon.
                    report(sequence, uses, if (reply.granter == null) 0 else attemptsLeft - 1, onDone)
                }
            }, {
                client.onCallFailure(it)
                granter = null
                report(sequence, uses, attemptsLeft - 1, onDone)
            })
        }
    }

    private fun nextHost(): TurnHost? {
        val ranked = rankTurnHosts(RANKED_SUBJECT, client.hosts.hosts).filter(client::isUsable)
        return ranked.firstOrNull { it.name == granter } ?: ranked.firstOrNull()
    }

    private fun noteGranter(name: String?) {
        if (name == lastGranter) return
        lastGranter = name
        onGranterChanged(name)
    }

    private companion object {
        const val RANKED_SUBJECT = "account quotas"

        /** Many times a round trip; a turn host that takes longer is stalled. */
        const val TIMEOUT_MILLIS = 200L
        const val ATTEMPTS = 2
    }
}
