package lavendertrail.serving

/*
 * Which requests run for which client account. A caller names its account by a key; requests on public routes need none.
 *
 * A key that the configuration doesn't hold is unknown only as far as this process knows the newest configuration. Where taking a key
 * away has a time bound, a key counts only for a little less than that bound after this process last asked the platform's store and
 * was told all changes, so that a host that is cut off stops in time. What was asked before a pause of the process counts for nothing,
 * since the pause may have lasted for any time.
 */

/** The part of the bound on taking a key away that is left for a request that is on its way to a server. */
private const val REVOCATION_MARGIN_DIVISOR = 20

/** Separates an account from an id of one of its callers; no header can contain it. */
private const val ACCOUNT_SEPARATOR = '\n'

/** The account that the caller's key names; null on public routes, for an unknown key and where the configuration has no accounts. */
internal fun ServingConfig.account(
    route: Route,
    request: CallerRequest,
): ClientAccount? = if (route.isPublic) null else request.accountKey?.let { accounts?.get(it.secret) }

/** Rejects a request that needs a key of an [account] and has none. */
internal fun ServingWork.rejectWithoutKey(
    key: RequestKey,
    route: Route,
    account: ClientAccount?,
): Boolean {
    if (route.isPublic || parts.config?.accounts == null) return false
    val reason = parts.keyProblem(account, nowMillis) ?: return false
    emit(Reject(key, reason, reason.retryMillis, keyDetail(), account?.name))
    return true
}

/** Rejects a request whose key has been taken away, or isn't known to be valid any more, since it was admitted. */
internal fun ServingWork.rejectIfKeyLost(pending: PendingRequest): Boolean {
    val reason = parts.keyProblem(pending, nowMillis) ?: return false
    rejectUnlessPossiblyRun(pending, reason, reason.retryMillis, keyDetail())
    return true
}

/** Why the admitted request may not be sent to a server now; null if it may. */
internal fun ServingParts.keyProblem(
    pending: PendingRequest,
    nowMillis: Long,
): RejectReason? {
    val admitted = pending.account ?: return null
    val accounts = config?.accounts ?: return null
    val holder = pending.request.accountKey?.let { accounts[it.secret] }
    return keyProblem(holder?.takeIf { it.name == admitted.name }, nowMillis)
}

/** Why a request with a key of [holder] may not run now; [holder] is null if no account holds the key. */
private fun ServingParts.keyProblem(
    holder: ClientAccount?,
    nowMillis: Long,
): RejectReason? =
    when {
        !areKeysTrusted(nowMillis) -> RejectReason.KEY_UNCERTAIN
        holder != null -> null
        isConfigCurrent(nowMillis) -> RejectReason.UNKNOWN_KEY
        else -> RejectReason.KEY_UNCERTAIN
    }

/** Whether no key that this process knows can have been taken away for longer than the bound. */
internal fun ServingParts.areKeysTrusted(nowMillis: Long): Boolean {
    val boundMillis = settings.revocationBoundMillis ?: return true
    val askedAtMillis = accountsAskedAtMillis ?: return false
    return nowMillis - askedAtMillis < boundMillis - boundMillis / REVOCATION_MARGIN_DIVISOR
}

/** Records that the accounts known here are those of the platform's store at [askedAtMillis] or later. */
internal fun ServingWork.recordAccountsConfirmed(askedAtMillis: Long) {
    val isAskedBeforePause = parts.resumedAtMillis?.let { askedAtMillis <= it } ?: false
    if (isAskedBeforePause) return
    parts = parts.copy(accountsAskedAtMillis = maxOf(askedAtMillis, parts.accountsAskedAtMillis ?: askedAtMillis))
    releaseEarlyRequests()
}

/** Trusts no key until the platform's store has answered a question that is asked from now on. */
internal fun ServingWork.distrustKeys() {
    parts = parts.copy(accountsAskedAtMillis = null, resumedAtMillis = nowMillis)
}

private fun ServingWork.keyDetail(): String {
    val askedMillisAgo = parts.accountsAskedAtMillis?.let { nowMillis - it }
    return "configuration ${parts.config?.version}, accounts asked for $askedMillisAgo ms ago"
}

private val RejectReason.retryMillis: Long? get() = NOT_READY_RETRY_MILLIS.takeIf { this == RejectReason.KEY_UNCERTAIN }

/** The priority of the request: that of its account, or else of its route. */
internal val PendingRequest.priority: Int get() = account?.priority ?: route.priority

/**
 * An id that callers choose, such as that of a program or a turn, as the account's own. What one account stores under an id doesn't
 * exist for another one. Ids of requests without an account, where [accountName] is null, stay as they are.
 */
public fun accountOwnedId(
    accountName: String?,
    id: String,
): String = if (accountName == null) id else "$accountName$ACCOUNT_SEPARATOR$id"

internal fun PendingRequest.ownedId(id: String): String = accountOwnedId(account?.name, id)

/** The request with a fingerprint of its account, since requests of different accounts are different requests. */
internal fun CallerRequest.of(account: ClientAccount?): CallerRequest =
    if (account == null) this else copy(fingerprint = fingerprint?.let { accountFingerprint(it, account.name) })
