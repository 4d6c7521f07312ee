package lavendertrail.serving

import kotlin.math.ceil

/*
 * Requests of accounts with a limit. Each needs one credit when it is first sent to a server. Credit that this host holds is used at
 * once; otherwise the request waits for the turn host that grants it, while its history and budget are looked up. A request that
 * ends before it was sent gives its credit back.
 */

/** Reserves credit for the request, or lets it wait for some. Returns null if the request was refused. */
internal fun ServingWork.withQuota(pending: PendingRequest): PendingRequest? {
    val account = pending.account ?: return pending
    if (account.requestsPerSecond == null) return pending
    val version = parts.config?.version ?: 0
    val known = parts.quotas.accounts[account.name] ?: newQuota(account, version)
    val held = known.copy(account = account, configVersion = version, lastUsedAtMillis = nowMillis).let { unlessLapsed(it) }
    if (held.freeRequests > 0 && held.waiting.isEmpty()) {
        putQuota(held.copy(freeRequests = held.freeRequests - 1, reservedRequests = held.reservedRequests + 1))
        return pending.copy(quotaLease = held.lease).also(::putRequest)
    }
    if (nowMillis < held.deniedUntilMillis) {
        putQuota(held)
        rejectRequest(pending, RejectReason.QUOTA_EXCEEDED, quotaRetryMillis(pending, held.retryMillis))
        return null
    }
    putQuota(held.copy(waiting = held.waiting.add(pending.key)))
    return pending.copy(quotaAskedAtMillis = nowMillis).also {
        putRequest(it)
        reportQuotas()
    }
}

/** Spends the credit of a request that is about to be sent. If the credit has lapsed, the request waits for other credit. */
internal fun ServingWork.spendQuota(pending: PendingRequest): Boolean {
    val lease = pending.quotaLease ?: return true
    if (pending.isQuotaSpent) return true
    val known = parts.quotas.accounts[pending.account?.name] ?: return awaitOtherQuota(pending)
    val held = unlessLapsed(known)
    putQuota(held)
    if (held.lease != lease) return awaitOtherQuota(pending)
    putQuota(
        held.copy(
            reservedRequests = held.reservedRequests - 1,
            spentRequests = held.spentRequests + 1,
            recentRequests = held.recentRequests + 1,
        ),
    )
    parts = parts.copy(quotas = parts.quotas.copy(spentRequests = parts.quotas.spentRequests + 1))
    return true
}

private fun ServingWork.awaitOtherQuota(pending: PendingRequest): Boolean {
    val cleared = pending.copy(quotaLease = null)
    putRequest(cleared)
    if (withQuota(cleared)?.quotaLease != null) placeRequest(pending.key)
    return false
}

/** Gives back what a request has reserved that ends before it was sent. */
internal fun ServingWork.releaseQuota(pending: PendingRequest) {
    val held = parts.quotas.accounts[pending.account?.name ?: return] ?: return
    if (pending.quotaAskedAtMillis != null) return putQuota(held.copy(waiting = held.waiting.remove(pending.key)))
    if (pending.quotaLease != held.lease || pending.isQuotaSpent) return
    putQuota(held.copy(freeRequests = held.freeRequests + 1, reservedRequests = held.reservedRequests - 1))
}

internal fun ServingWork.handleQuotasGranted(event: QuotasGranted) {
    val quotas = parts.quotas
    if (event.sequence != quotas.sequence) return
    parts = parts.copy(quotas = quotas.copy(isReporting = false, isReportVoid = false))
    if (quotas.isReportVoid) return reportQuotas()
    for (grant in event.grants.orEmpty()) {
        val use = event.uses.firstOrNull { it.account == grant.account } ?: continue
        acceptGrant(use, grant, event.sentAtMillis)
    }
    if (event.grants != null) reportQuotas()
}

private fun ServingWork.acceptGrant(
    use: QuotaUse,
    grant: QuotaGrant,
    sentAtMillis: Long,
) {
    val held = unlessLapsed(parts.quotas.accounts[grant.account] ?: return)
    val lapsesAtMillis = sentAtMillis + settings.quota.leaseMillis
    // Renewing a lease that has lapsed meanwhile would bring back credit that is void.
    val isCurrent = nowMillis < lapsesAtMillis
    val funded = held.waiting.take(if (isCurrent) grant.grantedRequests else 0)
    val isShort = grant.grantedRequests < use.neededRequests
    val denied = if (isShort && !grant.mayWait) held.waiting.drop(funded.size).take(use.neededRequests - funded.size) else emptyList()
    val isLogDue = denied.isNotEmpty() && nowMillis - (held.loggedAtMillis ?: 0) >= settings.quota.logMillis
    if (isLogDue) emit(LogQuotaReached(held.account))
    putQuota(
        held.copy(
            freeRequests = held.freeRequests + if (isCurrent) grant.grantedRequests - funded.size else 0,
            reservedRequests = held.reservedRequests + funded.size,
            lapsesAtMillis = if (isCurrent) lapsesAtMillis else held.lapsesAtMillis,
            reportedRequests = use.spentRequests,
            waiting = held.waiting.removeAll(funded).removeAll(denied),
            deniedUntilMillis = if (denied.isEmpty()) 0 else nowMillis + minOf(grant.retryMillis, settings.quota.deniedMillis),
            retryMillis = grant.retryMillis,
            askAtMillis = if (isShort) nowMillis + settings.quota.askAgainMillis else 0,
            leftRequests = grant.leftRequests,
            loggedAtMillis = if (isLogDue) nowMillis else held.loggedAtMillis,
            recentRequests = held.recentRequests * RECENT_WEIGHT,
        ),
    )
    for (key in denied) {
        val pending = pendingRequest(key)?.copy(quotaAskedAtMillis = null) ?: continue
        rejectUnlessPossiblyRun(pending, RejectReason.QUOTA_EXCEEDED, quotaRetryMillis(pending, grant.retryMillis))
    }
    for (key in funded) {
        val pending = pendingRequest(key) ?: continue
        putRequest(pending.copy(quotaAskedAtMillis = null, quotaLease = held.lease))
        placeRequest(key)
    }
}

/** Voids all credit: the process stood still, and leases may have lapsed. */
internal fun ServingWork.dropQuotas() {
    for (held in parts.quotas.accounts.values) putQuota(voided(held))
    parts = parts.copy(quotas = parts.quotas.copy(isReportVoid = parts.quotas.isReporting))
}

/** Reports what was spent, renews leases, and refuses requests that have waited too long for an answer. */
internal fun ServingWork.updateQuotas() {
    for (known in parts.quotas.accounts.values) {
        val held = unlessLapsed(known)
        if (held !== known) putQuota(held)
        if (held.isEmpty && nowMillis - held.lastUsedAtMillis >= settings.quota.logMillis) removeQuota(held)
        for (key in held.waiting) {
            val pending = pendingRequest(key) ?: continue
            if (nowMillis - (pending.quotaAskedAtMillis ?: nowMillis) < settings.quota.maxWaitMillis) continue
            rejectUnlessPossiblyRun(pending, RejectReason.OVERLOADED, quotaRetryMillis(pending, 0), "no turn host grants credit")
        }
    }
    reportQuotas()
}

/** Sends a report, unless one is outstanding or none is due. */
private fun ServingWork.reportQuotas() {
    val quotas = parts.quotas
    if (quotas.isReporting) return
    val isDue = nowMillis - (quotas.reportedAtMillis ?: 0) >= settings.quota.reportMillis
    val reported =
        quotas.accounts.values.filter { held ->
            held.waiting.isNotEmpty() && nowMillis >= held.askAtMillis || isDue && held.isReportDue(nowMillis, settings.quota)
        }
    if (reported.isEmpty() && !isPresenceDue()) return
    val uses = reported.map { reportQuota(it) }
    val sequence = quotas.sequence + 1
    parts = parts.copy(quotas = parts.quotas.copy(sequence = sequence, reportedAtMillis = nowMillis, isReporting = true))
    emit(ReportQuotas(sequence, nowMillis, uses, quotas.spentRequests))
}

/** Whether the turn hosts should hear from this host, so that one of them grants before the first request needs credit. */
private fun ServingWork.isPresenceDue(): Boolean =
    parts.config?.accounts != null &&
        nowMillis - (parts.quotas.reportedAtMillis ?: Long.MIN_VALUE / 2) >= settings.quota.presenceMillis &&
        parts.config
            ?.accounts
            ?.accounts
            .orEmpty()
            .any { it.requestsPerSecond != null }

/** Gives up the free credit of an account without requests. */
private fun ServingWork.reportQuota(known: HeldQuota): QuotaUse {
    val isIdle = known.isIdle(nowMillis, settings.quota)
    val current = unlessLapsed(known)
    val held = if (isIdle) current.copy(freeRequests = 0) else current
    putQuota(held)
    return QuotaUse(
        account = held.account.name,
        requestsPerSecond = held.account.requestsPerSecond ?: 0.0,
        burstRequests = held.account.burstRequests,
        configVersion = held.configVersion,
        spentRequests = held.spentRequests,
        heldRequests = held.heldRequests,
        neededRequests = held.waiting.size,
        aheadRequests = if (isIdle) 0 else (ceil(held.recentRequests).toInt() - held.freeRequests).coerceAtLeast(0),
    )
}

private fun ServingWork.newQuota(
    account: ClientAccount,
    configVersion: Long,
): HeldQuota = HeldQuota(account, configVersion, takeLease())

private fun ServingWork.takeLease(): Long {
    val quotas = parts.quotas
    parts = parts.copy(quotas = quotas.copy(nextLease = quotas.nextLease + 1))
    return quotas.nextLease
}

private fun ServingWork.unlessLapsed(held: HeldQuota): HeldQuota =
    if (held.heldRequests == 0 || nowMillis < held.lapsesAtMillis) held else voided(held)

private fun ServingWork.voided(held: HeldQuota): HeldQuota = held.copy(lease = takeLease(), freeRequests = 0, reservedRequests = 0)

private fun ServingWork.putQuota(held: HeldQuota) {
    val quotas = parts.quotas
    parts = parts.copy(quotas = quotas.copy(accounts = quotas.accounts.put(held.account.name, held)))
}

private fun ServingWork.removeQuota(held: HeldQuota) {
    val quotas = parts.quotas
    parts = parts.copy(quotas = quotas.copy(accounts = quotas.accounts.remove(held.account.name)))
}

private fun ServingWork.quotaRetryMillis(
    pending: PendingRequest,
    creditMillis: Long,
): Long {
    val spreadMillis = uniformHash(pending.request.attemptId) * settings.quota.retryJitterMillis
    return maxOf(creditMillis, settings.quota.retryMillis) + spreadMillis.toLong()
}

/** Weight of older requests in the estimate of those to come, at each report. */
private const val RECENT_WEIGHT = 0.5
