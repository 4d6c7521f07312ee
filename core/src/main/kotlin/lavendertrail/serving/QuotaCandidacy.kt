package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/*
 * Choice of the turn host that grants credit of accounts. It needs votes of a majority of the turn hosts, which bind each voter for a
 * time, so that at no moment two turn hosts grant. Each side counts the time from its own end of the call, and both are safe: the
 * candidate from the start of its call, the voter from its reply.
 */

/** The vote of a turn host. One that has just started doesn't know whom it has voted for, and waits until that vote has lapsed. */
public data class QuotaVoter(
    val startedAtMillis: Long,
    val candidate: String? = null,
    val boundUntilMillis: Long = 0,
) {
    /** Whether the host votes for [asking]. */
    public fun vote(
        asking: String,
        nowMillis: Long,
        voteMillis: Long,
    ): Pair<QuotaVoter, Boolean> {
        val isFree = nowMillis - startedAtMillis > voteMillis && (boundTo(nowMillis) ?: asking) == asking
        return if (isFree) copy(candidate = asking, boundUntilMillis = nowMillis + voteMillis) to true else this to false
    }

    /** Whom the host's vote binds it to. */
    public fun boundTo(nowMillis: Long): String? = candidate?.takeIf { nowMillis <= boundUntilMillis }
}

/** The votes that a turn host has, by voter, with the times until which it may use them. */
public data class QuotaCandidacy(
    private val votesUntilMillis: PersistentMap<String, Long> = persistentHashMapOf(),
) {
    /** Records a vote that was asked for at [askedAtMillis]. */
    public fun withVote(
        voter: String,
        askedAtMillis: Long,
        settings: QuotaSettings,
    ): QuotaCandidacy {
        val untilMillis = askedAtMillis + settings.voteMillis - settings.voteMarginMillis
        return copy(votesUntilMillis = votesUntilMillis.put(voter, maxOf(untilMillis, votesUntilMillis[voter] ?: untilMillis)))
    }

    /** Whether votes of a majority of [members] are in force. */
    public fun isGranter(
        members: Collection<String>,
        nowMillis: Long,
    ): Boolean = members.count { (votesUntilMillis[it] ?: Long.MIN_VALUE) >= nowMillis } > members.size / 2
}
