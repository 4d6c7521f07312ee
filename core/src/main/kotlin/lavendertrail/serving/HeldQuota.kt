package lavendertrail.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf

/**
 * Credit of one account at this entry host. [reservedRequests] of it belong to requests that have not been sent yet, the rest is
 * free. None of it may be used from [lapsesAtMillis] on; it is then held under another [lease], which voids what requests have
 * reserved.
 */
internal data class HeldQuota(
    val account: ClientAccount,
    val configVersion: Long,
    val lease: Long,
    val freeRequests: Int = 0,
    val reservedRequests: Int = 0,
    val spentRequests: Long = 0,
    val reportedRequests: Long = 0,
    val lapsesAtMillis: Long = 0,
    val lastUsedAtMillis: Long = 0,
    /** Requests that wait for credit, in the order of arrival. */
    val waiting: PersistentList<RequestKey> = persistentListOf(),
    /** Until when requests are refused without asking, and after which time the account has credit then. */
    val deniedUntilMillis: Long = 0,
    val retryMillis: Long = 0,
    /** When requests that wait are asked for. */
    val askAtMillis: Long = 0,
    val loggedAtMillis: Long? = null,
    val leftRequests: Int = 0,
    /** Requests sent lately, by which credit is asked for ahead. */
    val recentRequests: Double = 0.0,
) {
    val heldRequests: Int get() = freeRequests + reservedRequests
    val isEmpty: Boolean get() = heldRequests == 0 && waiting.isEmpty() && spentRequests == reportedRequests

    fun isIdle(
        nowMillis: Long,
        settings: QuotaSettings,
    ): Boolean = waiting.isEmpty() && nowMillis - lastUsedAtMillis >= settings.idleMillis

    /** Whether the granter should hear from this host, although no request waits. */
    fun isReportDue(
        nowMillis: Long,
        settings: QuotaSettings,
    ): Boolean =
        spentRequests != reportedRequests ||
            freeRequests > 0 &&
            isIdle(nowMillis, settings) ||
            heldRequests > 0 &&
            lapsesAtMillis - nowMillis < settings.leaseMillis / 2
}

/** Credit of all accounts with a limit. At most one report to the granter is outstanding. */
internal data class HeldQuotas(
    val accounts: PersistentMap<String, HeldQuota> = persistentHashMapOf(),
    val nextLease: Long = 1,
    val sequence: Long = 0,
    val reportedAtMillis: Long? = null,
    /** Requests of all accounts that have used credit since the start of the process. */
    val spentRequests: Long = 0,
    val isReporting: Boolean = false,
    /** Whether credit that the outstanding report brings must not be used, since the process stood still meanwhile. */
    val isReportVoid: Boolean = false,
)
