package lavendertrail.serving

/** Limits and weights of the serving decisions. */
public data class ServingSettings(
    /**
     * How long entries that expired while the platform's store was unreachable stay in use after it is reachable again. The platform's
     * own grace period is two seconds.
     */
    val expiredEntryGraceMillis: Long = 2_200,
    /**
     * Time within which a confirmed configuration must be in force. A process that hasn't heard from the platform's store for longer
     * doesn't answer that a route doesn't exist. Null if there is no such bound.
     */
    val configBoundMillis: Long? = null,
    /**
     * Time after which no request runs any more with a key that was taken away. A process that last asked the platform's store nearly
     * as long ago serves no requests with keys. Null if there is no such bound.
     */
    val revocationBoundMillis: Long? = null,
    /**
     * A shorter silence of the platform's store lets no entry of a live server expire, which takes three heartbeats of the server. The
     * store may have been down since one heartbeat after the last one.
     */
    val minExpiringOutageMillis: Long = 2_000,
    /** How long after its start a process holds requests until its configuration is read, which takes about 300 ms. */
    val startupWaitMillis: Long = 1_000,
    /**
     * How many attempts of one request that did not run are retried; one more such attempt rejects the request. Each costs a round
     * trip of about 2 ms.
     */
    val maxNotRunAttempts: Int = 3,
    /** Backoff after the first failed connection to a server, doubled with each consecutive failure. */
    val failureBackoffBaseMillis: Long = 250,
    /** Longest backoff; a server that crashed is available again after a few seconds. */
    val failureBackoffMaxMillis: Long = 2_000,
    /** Waiting requests per slot at which placement treats a server as full. */
    val maxWaitingPerSlot: Double = 1.5,
    /** Prefill speed of an engine, used for the cost of prompt parts that it has not cached. */
    val prefillTokensPerMillisecond: Double = 110.0,
    /** Cost of a server in another failure domain; covers the latency and the price of traffic between domains. */
    val remoteDomainCostMillis: Double = 25.0,
    /**
     * How much later a request may start at its home server than at the best one, which callers accept for fewer changes of their
     * server; less than [remoteDomainCostMillis]. Null where requests have no home and go to the server where they start first.
     */
    val homePreferenceMillis: Double? = null,
    /** Requests per slot up to which a home server keeps its requests while others are busy too, as a multiple of their mean. */
    val homeLoadBound: Double = 1.25,
    /** Assumed duration of a request until the first request of its service has ended. */
    val initialServiceDurationMillis: Double = 150.0,
    /** Weight of the latest duration in a service's moving average. */
    val durationWeight: Double = 0.05,
    /** Half-life of the requests of other hosts that a server reported. */
    val loadHalfLifeMillis: Double = 600.0,
    /** Timeout of a history look-up or a reservation at the turn hosts. */
    val turnLookupTimeoutMillis: Long = 1_200,
    /** Programs whose later turns are recognized. An entry host serves a few hundred programs at a time. */
    val maxRememberedPrograms: Int = 4_096,
    /** Requests that were answered lately, by fingerprint; those of some seconds at the load of an entry host. */
    val maxRememberedAnswers: Int = 4_096,
    /** Prompt parts remembered for each server. */
    val maxCachedParts: Int = 512,
    /** How long the origin of a stream is kept beyond the time for which its caller waits for the stream and for its next event. */
    val streamOriginRetentionMillis: Long = 30_000,
    /** Longest wait of a caller for which an origin is stored in advance; the origin of a longer stream is stored again while it goes on. */
    val maxOriginWaitMillis: Long = 600_000,
    /** Shortest time for which a program's token use is kept; it is longer where the configuration keeps turns for longer. */
    val minUseRetentionMillis: Long = 120_000,
    /**
     * How long an account counts as well below its limit after the host that decides for it has said so; about the time in which that
     * host is back or replaced.
     */
    val quotaSpareValidityMillis: Long = 10_000,
    /** How long a request of a running program may wait until its account has room. */
    val quotaWaitMillis: Long = 1_000,
    /** How long the first request of a program may wait until its account has room. */
    val newProgramQuotaWaitMillis: Long = 500,
    /** How long a request of a running program may wait for a permit of a server with a request limit. */
    val permitWaitMillis: Long = 1_000,
    /** How long the first turn of a program may wait for a permit; about the target latency of a turn. */
    val firstTurnPermitWaitMillis: Long = 250,
    /** How often one request asks for a permit. Each question covers the servers of one pacer. */
    val maxPermitRequests: Int = 4,
    /** A permit that is used later than this counts towards a rate that has been used by others meanwhile. */
    val permitValidityMillis: Long = 400,
    /** Interval at which a limit that a server keeps stating is reported to the pacers. */
    val limitReportMillis: Long = 5_000,
    /** How long a server that has said that it leaves gets no requests, unless it starts again; many times what leaving takes. */
    val leavingServerRetentionMillis: Long = 3_600_000,
    /** Crashes after which a request is isolated. With one less, it is sent to one server at a time. */
    val crashesBeforeIsolation: Int = 3,
    /**
     * How long a request that crashes servers is refused before each trial whether it still does. Each trial may cost another server,
     * so that after the last one the request is refused for as long as the evidence is kept.
     */
    val crashTrialDelaysMillis: List<Long> = listOf(20_000, 40_000, 3_600_000),
    /** How long, at least, a request is refused after a trial whose outcome isn't known; the longest timeout of a route if that is longer. */
    val pendingCrashTrialMillis: Long = 40_000,
    /** How long evidence of crashes is kept without news. */
    val crashRecordRetentionMillis: Long = 86_400_000,
    /** Fingerprints with evidence of crashes that are remembered. */
    val maxCrashRecords: Int = 1_000,
    /** Time in which a server that closed a connection may answer another request, and so turn out not to have crashed. */
    val crashVerdictMillis: Long = 1_500,
    /** How long evidence waits for such an answer before other hosts are told; a fraction of the time within which they must know. */
    val crashReportDelayMillis: Long = 300,
    /** Number of entry hosts among which limits are divided while no pacer has told it; today's number of hosts of one owner. */
    val assumedEntryHosts: Int = 9,
    /** A request with less time left is not sent; a round trip and the shortest work take as long. */
    val minRemainingMillis: Long = 20,
    /** Whether callers that are turned away under overload return in the order of what their programs have invested. */
    val ordersReturns: Boolean = false,
)
