package lavendertrail.turns

import lavendertrail.serving.AccountQuotas
import lavendertrail.serving.QuotaQuestion
import lavendertrail.serving.TurnHost

/**
 * Decides at a turn host about the requests of the client accounts for which the list of turn hosts names it.
 *
 * Two hosts may go by different lists, since the one that knows the older list may be cut off from the platform's store. A host that
 * becomes the holder of an account therefore grants nothing until [trustMillis] have passed, and one that hasn't heard for that long
 * that its list is the newest grants only a part: during an outage of the store no host can take over from it, and otherwise the
 * entry hosts that reach the store don't ask it any more. Decisions run on the event loop.
 */
internal class QuotaHolder(
    ownHost: TurnHost,
    private val trustMillis: Long,
    private val nowMillis: () -> Long,
) {
    private val lists = ListHistory(ownHost, trustMillis, nowMillis)

    /** When the store was last asked for the list that is known here. */
    @Volatile
    private var confirmedAtMillis: Long? = null
    private var quotas = AccountQuotas(nowMillis())
    private var nextCleanupMillis = 0L

    /** Records that the list known here is that of the platform's store at [askedAtMillis] or later. Called on the store's threads. */
    fun confirm(askedAtMillis: Long) {
        confirmedAtMillis = askedAtMillis
    }

    /** Decides by the list [known], which is the newest one that this host knows. */
    fun decide(
        question: QuotaQuestion,
        known: TurnHostListing,
        entryHostCount: Int,
    ): QuotaReply {
        lists.adopt(known)
        val now = nowMillis()
        if (!lists.isOnlyHolder(question.accountName)) return QuotaReply(null, entryHostCount)
        val isConfirmed = confirmedAtMillis?.let { now - it < trustMillis } ?: false
        val (next, decision) = quotas.decide(question, if (isConfirmed) 1.0 else UNCONFIRMED_SHARE, now)
        quotas = next
        if (now >= nextCleanupMillis) {
            nextCleanupMillis = now + CLEANUP_INTERVAL_MILLIS
            quotas = quotas.withoutIdle(now)
        }
        return QuotaReply(decision, entryHostCount)
    }

    private companion object {
        /** The part of a limit that a host grants without having heard from the store. */
        const val UNCONFIRMED_SHARE = 0.5
        const val CLEANUP_INTERVAL_MILLIS = 10_000L
    }
}
