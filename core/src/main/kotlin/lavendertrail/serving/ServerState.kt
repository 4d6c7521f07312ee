package lavendertrail.serving

import kotlin.math.pow

/** A backend server and what this process knows about its load, cache and health. */
internal data class ServerState(
    val server: BackendServer,
    val cache: CachedParts,
    val inFlight: Int = 0,
    val load: ReportedLoad? = null,
    val loadReportedAtMillis: Long = 0,
    val inFlightChangeSinceLoad: Int = 0,
    val consecutiveFailures: Int = 0,
    val backoffUntilMillis: Long = 0,
    /** Null while the server states no limit. */
    val requestLimit: RequestLimit? = null,
    val limitEndedAtMillis: Long? = null,
    val limitReportedAtMillis: Long = 0,
    /** When the pacer has the next permit for this server, as far as this host knows. */
    val nextPermitAtMillis: Long = 0,
    /** When the entry expired while the store was unreachable; null for an entry that has not expired. */
    val expiredAtMillis: Long? = null,
    /** When the entry first said that the server leaves; null while it doesn't. */
    val drainingSinceMillis: Long? = null,
    /** When the server last wrote its entry while this process followed the store; null if the entry is known from a list only. */
    val renewedAtMillis: Long? = null,
    /** When the last request was sent to this server; null if none was. */
    val lastSentAtMillis: Long? = null,
) {
    val slots: Int get() = server.slots.coerceAtLeast(1)

    /**
     * Estimated number of running and waiting requests. Those of other hosts are known from the server's load reports only, and their
     * number decays with the age of the report.
     */
    fun occupancy(
        nowMillis: Long,
        halfLifeMillis: Double,
    ): Double {
        val reported = load ?: return inFlight.toDouble()
        val others = (reported.running + reported.waiting + inFlightChangeSinceLoad - inFlight).coerceAtLeast(0)
        val ageMillis = (nowMillis - loadReportedAtMillis).coerceAtLeast(0)
        return inFlight + others * 0.5.pow(ageMillis / halfLifeMillis)
    }

    fun withAttemptStarted(
        parts: List<PromptPart>,
        nowMillis: Long,
    ) = copy(
        inFlight = inFlight + 1,
        inFlightChangeSinceLoad = inFlightChangeSinceLoad + 1,
        cache = cache.with(parts),
        lastSentAtMillis = nowMillis,
    )

    fun withAttemptEnded() = copy(inFlight = (inFlight - 1).coerceAtLeast(0), inFlightChangeSinceLoad = inFlightChangeSinceLoad - 1)

    fun withReportedLoad(
        load: ReportedLoad?,
        nowMillis: Long,
    ) = if (load == null) this else copy(load = load, loadReportedAtMillis = nowMillis, inFlightChangeSinceLoad = 0)

    /** How long a request waits for a permit to be sent to this server. */
    fun permitWaitMillis(nowMillis: Long): Long = if (requestLimit == null) 0 else (nextPermitAtMillis - nowMillis).coerceAtLeast(0)

    fun withoutFailures() = if (consecutiveFailures == 0) this else copy(consecutiveFailures = 0, backoffUntilMillis = 0)

    fun withFailure(
        nowMillis: Long,
        settings: ServingSettings,
    ): ServerState {
        val doubledMillis = settings.failureBackoffBaseMillis shl consecutiveFailures.coerceAtMost(MAX_DOUBLINGS)
        val backoffMillis = doubledMillis.coerceAtMost(settings.failureBackoffMaxMillis)
        return copy(consecutiveFailures = consecutiveFailures + 1, backoffUntilMillis = nowMillis + backoffMillis)
    }

    private companion object {
        // 250 ms doubled eight times exceeds every configured maximum backoff.
        const val MAX_DOUBLINGS = 8
    }
}
