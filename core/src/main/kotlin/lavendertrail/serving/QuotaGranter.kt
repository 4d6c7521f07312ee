package lavendertrail.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.math.ceil
import kotlin.math.floor

/**
 * Distributes the credit of all accounts to entry hosts. Only one turn host does so at a time; see [QuotaCandidacy].
 *
 * Each account has a token bucket. Credit leaves the bucket when it is granted, and takes up room in the bucket until it is reported
 * as spent or its lease has lapsed. The credit that can be spent at once is therefore never more than the capacity, and servers get
 * no more than the capacity and the rate times its length in any time, however late credit is spent. A granter that starts doesn't
 * know what an earlier one has granted: its buckets are empty, and small until all leases of the earlier one have lapsed.
 */
public data class QuotaGranter(
    val startedAtMillis: Long,
    private val settings: QuotaSettings = QuotaSettings(),
    private val accounts: PersistentMap<String, GrantedAccount> = persistentHashMapOf(),
) {
    /** Credit left in each account's bucket, for the state dump. */
    public val levels: Map<String, Double> get() = accounts.mapValues { it.value.level }

    /** Settles what [holder] reports, and grants what it asks for. A report older than the last one gets nothing. */
    public fun decide(
        holder: String,
        sequence: Long,
        uses: List<QuotaUse>,
        nowMillis: Long,
    ): Pair<QuotaGranter, List<QuotaGrant>> {
        var next = accounts
        val grants =
            uses.map { use ->
                val (account, grant) = (next[use.account] ?: newAccount(use)).grant(holder, sequence, use, nowMillis)
                next = next.put(use.account, account)
                grant
            }
        return copy(accounts = next) to grants
    }

    private fun newAccount(use: QuotaUse) =
        GrantedAccount(use.requestsPerSecond, use.burstRequests, use.configVersion, level = 0.0, filledAtMillis = startedAtMillis)

    private fun GrantedAccount.grant(
        holder: String,
        sequence: Long,
        use: QuotaUse,
        nowMillis: Long,
    ): Pair<GrantedAccount, QuotaGrant> {
        val known = withoutLapsed(nowMillis).filled(nowMillis).withLimitOf(use)
        val holding = known.holdings[holder]
        if (holding != null && sequence <= holding.sequence) return known to QuotaGrant(use.account, 0, 0)
        val settled = known.settle(holder, holding, use).filled(nowMillis)
        val needed = minOf(use.neededRequests, wholeRequests(settled.level))
        val generous = settled.level - needed - settings.generousShare * settled.capacity(nowMillis)
        val ahead = if (needed < use.neededRequests) 0 else minOf(use.aheadRequests, wholeRequests(generous))
        val granted = needed + ahead
        val held = use.heldRequests + granted
        val retryMillis = if (needed < use.neededRequests) settled.millisToEarn(use.neededRequests - settled.level) else 0
        val holdings =
            if (held == 0) {
                settled.holdings.remove(holder)
            } else {
                settled.holdings.put(holder, Holding(held, use.spentRequests, sequence, nowMillis + settings.leaseMillis))
            }
        val outstanding = settled.outstanding + held
        val level = settled.level - granted
        val mayWait = nowMillis - startedAtMillis < settings.patienceMillis
        return settled.copy(level = level, holdings = holdings, outstanding = outstanding) to
            QuotaGrant(use.account, granted, retryMillis, mayWait, wholeRequests(level))
    }

    /** Takes out what [holder] held. What it neither has nor has spent never reached it, or was given up, and returns to the bucket. */
    private fun GrantedAccount.settle(
        holder: String,
        holding: Holding?,
        use: QuotaUse,
    ): GrantedAccount {
        if (holding == null) return this
        val spent = use.spentRequests - holding.spentRequests
        val returned = if (spent < 0) 0L else (holding.requests - spent - use.heldRequests).coerceAtLeast(0)
        return copy(level = level + returned, holdings = holdings.remove(holder), outstanding = outstanding - holding.requests)
    }

    /** A limit of an older configuration never replaces that of a newer one. */
    private fun GrantedAccount.withLimitOf(use: QuotaUse): GrantedAccount =
        if (use.configVersion <= configVersion) {
            this
        } else {
            copy(requestsPerSecond = use.requestsPerSecond, burstRequests = use.burstRequests, configVersion = use.configVersion)
        }

    private fun GrantedAccount.withoutLapsed(nowMillis: Long): GrantedAccount {
        val lapsed = holdings.filterValues { it.lapsesAtMillis < nowMillis }
        if (lapsed.isEmpty()) return this
        return copy(
            holdings = lapsed.keys.fold(holdings) { left, holder -> left.remove(holder) },
            outstanding = outstanding - lapsed.values.sumOf { it.requests },
        )
    }

    private fun GrantedAccount.filled(nowMillis: Long): GrantedAccount {
        val earned = (nowMillis - filledAtMillis).coerceAtLeast(0) * requestsPerSecond / MILLIS_PER_SECOND
        val room = (capacity(nowMillis) - outstanding).coerceAtLeast(0.0)
        return copy(level = minOf(level + earned, room), filledAtMillis = maxOf(nowMillis, filledAtMillis))
    }

    private fun GrantedAccount.capacity(nowMillis: Long): Double =
        if (nowMillis - startedAtMillis <= settings.leaseMillis) {
            settings.settlingRequests + requestsPerSecond * settings.settlingRateMillis / MILLIS_PER_SECOND
        } else {
            burstRequests * (1 + settings.extraBurstShare) + settings.extraRequests +
                requestsPerSecond * settings.extraRateMillis / MILLIS_PER_SECOND
        }

    private fun GrantedAccount.millisToEarn(requests: Double): Long =
        ceil(requests.coerceAtLeast(0.0) * MILLIS_PER_SECOND / requestsPerSecond.coerceAtLeast(MIN_REQUESTS_PER_SECOND)).toLong()

    /** [outstanding] is the sum of [holdings]. */
    public data class GrantedAccount(
        val requestsPerSecond: Double,
        val burstRequests: Double,
        val configVersion: Long,
        val level: Double,
        val filledAtMillis: Long,
        val outstanding: Int = 0,
        val holdings: PersistentMap<String, Holding> = persistentHashMapOf(),
    )

    /** Credit that an entry host may still spend, as far as the granter knows. */
    public data class Holding(
        val requests: Int,
        val spentRequests: Long,
        val sequence: Long,
        val lapsesAtMillis: Long,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** Bounds the retry delay of an account that may send nothing. */
        const val MIN_REQUESTS_PER_SECOND = 0.1

        fun wholeRequests(credit: Double): Int = floor(credit + ROUNDING).toInt().coerceAtLeast(0)

        /** Sums of fractions of requests may fall short of a whole one. */
        const val ROUNDING = 1e-6
    }
}
