package lavendertrail.serving

/**
 * The part of a turn host in the quotas of accounts: it votes for the turn host that grants credit, asks for votes itself while entry
 * hosts ask it for credit, and grants credit while it has the votes. Nothing is stored; after a restart, the host neither votes nor
 * grants until its earlier vote has lapsed.
 */
public data class QuotaHost(
    val name: String,
    private val settings: QuotaSettings = QuotaSettings(),
    private val voter: QuotaVoter,
    private val candidacy: QuotaCandidacy = QuotaCandidacy(),
    /** Null while the host doesn't grant. */
    val granter: QuotaGranter? = null,
    private val askedAtMillis: Long? = null,
    private val nextRoundAtMillis: Long = 0,
    private val failingSinceMillis: Long? = null,
) {
    /** Grants what [holder] asks for; without grants if this host doesn't grant, then with the name of the host that may. */
    public fun decide(
        holder: String,
        sequence: Long,
        uses: List<QuotaUse>,
        members: Collection<String>,
        nowMillis: Long,
    ): Pair<QuotaHost, QuotaDecision> {
        val current = withoutLapsedVotes(members, nowMillis).copy(askedAtMillis = nowMillis)
        val granter = current.granter ?: return current to QuotaDecision(null, voter.boundTo(nowMillis)?.takeIf { it != name })
        val (next, grants) = granter.decide(holder, sequence, uses, nowMillis)
        return current.copy(granter = next) to QuotaDecision(grants, name)
    }

    /** Whether the host votes for [candidate]. */
    public fun vote(
        candidate: String,
        nowMillis: Long,
    ): Pair<QuotaHost, Boolean> {
        val (next, isGiven) = voter.vote(candidate, nowMillis, settings.voteMillis)
        return copy(voter = next) to isGiven
    }

    /** Starts a round of votes if one is due; the result tells whether the other members are to be asked. */
    public fun startRound(
        members: Collection<String>,
        nowMillis: Long,
    ): Pair<QuotaHost, Boolean> {
        val current = withoutLapsedVotes(members, nowMillis)
        val isAsked = askedAtMillis != null && nowMillis - askedAtMillis <= settings.unaskedMillis
        if (!isAsked || name !in members || nowMillis < nextRoundAtMillis) return current to false
        val (voted, isGiven) = current.vote(name, nowMillis)
        if (!isGiven) return voted.copy(failingSinceMillis = null) to false
        val round = voted.withVote(name, nowMillis, members, nowMillis).planNextRound(nowMillis)
        return round to true
    }

    /** A host that gets no majority for long leaves the votes that it has to others for a while, since two may have half of them each. */
    private fun planNextRound(nowMillis: Long): QuotaHost {
        if (granter != null) return copy(nextRoundAtMillis = nowMillis + settings.voteRenewalMillis, failingSinceMillis = null)
        val since = failingSinceMillis ?: nowMillis
        if (nowMillis - since < settings.voteMillis) {
            return copy(nextRoundAtMillis = nowMillis + settings.voteRetryMillis, failingSinceMillis = since)
        }
        val pauseMillis = (settings.voteMillis * (1 + uniformHash("$name $nowMillis"))).toLong()
        return copy(nextRoundAtMillis = nowMillis + pauseMillis, failingSinceMillis = null)
    }

    /** Records the vote of [member], which was asked for at [roundAtMillis]. */
    public fun withVote(
        member: String,
        roundAtMillis: Long,
        members: Collection<String>,
        nowMillis: Long,
    ): QuotaHost {
        val current = withoutLapsedVotes(members, nowMillis)
        val votes = current.candidacy.withVote(member, roundAtMillis, settings)
        val started = if (votes.isGranter(members, nowMillis)) current.granter ?: QuotaGranter(nowMillis, settings) else null
        return current.copy(candidacy = votes, granter = started)
    }

    /** The process stood still for an unknown time, and its votes may have lapsed. */
    public fun afterPause(): QuotaHost = copy(candidacy = QuotaCandidacy(), granter = null)

    /** A host without a majority grants nothing; if it gets one again, others may have granted meanwhile. */
    private fun withoutLapsedVotes(
        members: Collection<String>,
        nowMillis: Long,
    ): QuotaHost = if (granter == null || candidacy.isGranter(members, nowMillis)) this else copy(granter = null)
}

/** [grants] is null from a host that doesn't grant; [granter] is the name of the host that does, as far as it knows. */
public data class QuotaDecision(
    val grants: List<QuotaGrant>?,
    val granter: String?,
)
