package lavendertrail.serving

/*
 * Limits of client accounts, which hold for all entry hosts together. A request of a limited account asks the one turn host that
 * decides for the account, before anything else is done for it. While that host doesn't answer, requests go on only for accounts that
 * were well below their limit a moment ago, at this host's share of the limit: what all hosts grant in that time is then bounded by
 * what the account's callers ask anyway.
 */

/** What this host knows about the use of an account, and what it may grant by itself. */
internal data class KnownQuota(
    /** When the deciding host last said that the account had spare requests; null if it said otherwise since. */
    val spareSeenAtMillis: Long? = null,
    val ownTokens: Double = 1.0,
    val ownTokensAtMillis: Long = 0,
)

/** Asks whether the account's limit has room for [pending]; false if it has no limit. */
internal fun ServingWork.askQuota(pending: PendingRequest): Boolean {
    val question = quotaQuestion(pending) ?: return false
    putRequest(pending.copy(awaitsQuota = true))
    emit(AskQuota(pending.key, question))
    return true
}

private fun ServingWork.quotaQuestion(pending: PendingRequest): QuotaQuestion? {
    val account = pending.account ?: return null
    val requestsPerSecond = account.requestsPerSecond ?: return null
    val isNewProgram = pending.isFirstTurn || pending.request.programId == null
    val waitMillis = if (isNewProgram) settings.newProgramQuotaWaitMillis else settings.quotaWaitMillis
    return QuotaQuestion(
        accountName = account.name,
        requestsPerSecond = requestsPerSecond,
        burstRequests = account.burstRequests,
        configVersion = parts.config?.version ?: 0,
        isNewProgram = isNewProgram,
        maxWaitMillis = minOf(waitMillis, pending.remainingMillis(nowMillis) / 2),
    )
}

internal fun ServingWork.handleQuotaDecided(event: QuotaDecided) {
    event.entryHostCount?.takeIf { it > 0 }?.let { parts = parts.copy(entryHostCount = it) }
    recordQuota(event)
    val pending = pendingRequest(event.key)?.takeIf { it.awaitsQuota && it.beginsAtMillis == null } ?: return
    val isGranted = event.decision?.isGranted ?: grantOwnShare(pending)
    val waitMillis = event.decision?.waitMillis ?: 0
    when {
        isGranted && waitMillis > 0 -> putRequest(pending.copy(beginsAtMillis = nowMillis + waitMillis))
        isGranted -> beginRequest(pending.copy(awaitsQuota = false))
        event.decision == null -> rejectRequest(pending, RejectReason.QUOTA_UNCERTAIN, QUOTA_UNCERTAIN_RETRY_MILLIS)
        else -> rejectRequest(pending, RejectReason.QUOTA_SPENT, event.decision.retryAfterMillis)
    }
}

/** Begins the requests for which their accounts have room by now. */
internal fun ServingWork.beginWaitingRequests() {
    parts.requests.values
        .filter { it.beginsAtMillis != null && it.beginsAtMillis <= nowMillis }
        .sortedBy { it.beginsAtMillis }
        .forEach { beginRequest(it.copy(awaitsQuota = false, beginsAtMillis = null)) }
}

private fun ServingWork.recordQuota(event: QuotaDecided) {
    val decision = event.decision ?: return
    val known = parts.quotas[event.accountName] ?: KnownQuota()
    val spareSeenAtMillis = nowMillis.takeIf { decision.isGranted && decision.hasSpare }
    parts = parts.copy(quotas = parts.quotas.put(event.accountName, known.copy(spareSeenAtMillis = spareSeenAtMillis)))
}

/** Keeps what is known of the accounts of [config] only. */
internal fun ServingWork.forgetQuotasOfOtherAccounts(config: ServingConfig) {
    if (parts.quotas.isEmpty()) return
    val names =
        config.accounts
            ?.accounts
            .orEmpty()
            .mapTo(mutableSetOf()) { it.name }
    val gone = parts.quotas.keys.filter { it !in names }
    parts = parts.copy(quotas = gone.fold(parts.quotas) { left, name -> left.remove(name) })
}

/** Whether the request may run although the deciding host doesn't answer. */
private fun ServingWork.grantOwnShare(pending: PendingRequest): Boolean {
    val question = quotaQuestion(pending) ?: return true
    val known = parts.quotas[question.accountName] ?: return false
    val spareSeenAtMillis = known.spareSeenAtMillis ?: return false
    if (nowMillis - spareSeenAtMillis > settings.quotaSpareValidityMillis) return false
    val rate = question.requestsPerSecond / parts.entryHostCount
    val tokens = minOf(1.0, known.ownTokens + (nowMillis - known.ownTokensAtMillis) / MILLIS_PER_SECOND * rate)
    val isGranted = tokens >= 1
    val next = known.copy(ownTokens = if (isGranted) tokens - 1 else tokens, ownTokensAtMillis = nowMillis)
    parts = parts.copy(quotas = parts.quotas.put(question.accountName, next))
    return isGranted
}

private const val MILLIS_PER_SECOND = 1_000.0

/** A fraction of the time in which a turn host that was killed is back. */
private const val QUOTA_UNCERTAIN_RETRY_MILLIS = 300L
