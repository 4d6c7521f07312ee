package lavendertrail.serving

/** What happened to the requests of a [QuotaModel], and whether it keeps the limits. */
internal class QuotaLedger(
    accounts: List<ClientAccount>,
) {
    private class Limit(
        val account: ClientAccount,
        /** From when the limit may be used, and from when no host may use an earlier one. */
        val fromMillis: Long,
        val bindsFromMillis: Long,
    )

    private class Asked(
        val account: String,
        val atMillis: Long,
        val isOwed: Boolean,
    )

    private val limits = accounts.associate { it.name to mutableListOf(Limit(it, 0, 0)) }
    private val requests = LinkedHashMap<RequestKey, Asked>()
    private val arrivals = LinkedHashMap<RequestKey, Long>()
    val refusals = HashMap<RejectReason, Int>()
    var calls = 0

    fun recordRequest(
        key: RequestKey,
        account: String,
        atMillis: Long,
        isOwed: Boolean,
    ) {
        requests[key] = Asked(account, atMillis, isOwed)
    }

    fun recordArrival(
        key: RequestKey,
        atMillis: Long,
    ) {
        check(arrivals.put(key, atMillis) == null) { "request $key was sent twice" }
    }

    fun recordRefusal(reason: RejectReason) {
        refusals.merge(reason, 1, Int::plus)
    }

    fun recordLimit(
        account: ClientAccount,
        fromMillis: Long,
        bindsFromMillis: Long,
    ) {
        limits.getValue(account.name) += Limit(account, fromMillis, bindsFromMillis)
    }

    /** The windows in which an account's servers got more than the bound, by account with the excess. */
    fun brokenWindows(): List<String> =
        limits.keys.flatMap { name ->
            val times = arrivals.filterKeys { requests.getValue(it).account == name }.values.sorted()
            var last = 0
            times.indices.mapNotNull { first ->
                while (last < times.size && times[last] <= times[first] + WINDOW_MILLIS) last++
                val count = last - first
                val bound = bound(name, times[first])
                if (count > bound) "$name: $count in the window from ${times[first]}, bound $bound" else null
            }
        }

    private fun bound(
        name: String,
        startMillis: Long,
    ): Double =
        limitsIn(name, startMillis, startMillis + WINDOW_MILLIS).maxOf {
            (checkNotNull(it.requestsPerSecond) * WINDOW_MILLIS / 1_000 + it.burstRequests) * 1.1 + 20
        }

    private fun limitsIn(
        name: String,
        startMillis: Long,
        endMillis: Long,
    ): List<ClientAccount> {
        val all = limits.getValue(name)
        return all
            .filterIndexed { index, limit ->
                limit.fromMillis <= endMillis && all.drop(index + 1).none { it.bindsFromMillis <= startMillis }
            }.map { it.account }
    }

    val sent: Int get() = arrivals.size
    val asked: Int get() = requests.size

    /** Requests that a single bucket with the account's limit would have let through, at hosts that weren't cut off. */
    fun owed(): Int = limits.keys.sumOf { owed(it) }

    /** How many fewer reached a server than were owed, by account. */
    fun missed(): Int =
        limits.keys.sumOf { name ->
            val served = arrivals.keys.count { requests.getValue(it).let { asked -> asked.account == name && asked.isOwed } }
            (owed(name) - served).coerceAtLeast(0)
        }

    private fun owed(name: String): Int {
        var level =
            limits
                .getValue(name)
                .first()
                .account.burstRequests
        var atMillis = 0L
        var owed = 0
        for (asked in requests.values.filter { it.account == name }) {
            val current = limitsIn(name, asked.atMillis, asked.atMillis).minBy { checkNotNull(it.requestsPerSecond) }
            val earned = (asked.atMillis - atMillis) * checkNotNull(current.requestsPerSecond) / 1_000
            level = minOf(level + earned, current.burstRequests)
            atMillis = asked.atMillis
            if (level < 1) continue
            level -= 1
            if (asked.isOwed) owed++
        }
        return owed
    }

    private companion object {
        const val WINDOW_MILLIS = 5_000L
    }
}
