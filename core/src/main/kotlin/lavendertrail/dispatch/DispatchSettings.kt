package lavendertrail.dispatch

import kotlinx.serialization.Serializable

/** Settings of dispatch. docs/policy.md documents them for operators. */
@Serializable
public data class DispatchSettings(
    public val policy: String = "programAware",
    public val maxClassWaitMillis: Long = 20_000,
    public val subsetServers: Int = 8,
    public val maxQueuedCalls: Int = 2_000,
    public val streamIdleMillis: Long = 15_000,
    public val retryBudgetPercent: Int = 10,
    public val poisonCrashLimit: Int = 2,
    public val poisonExpiryMillis: Long = 3_600_000,
    public val loadPollMillis: Long = 5_000,
    public val pinSweepMillis: Long = 30_000,
    public val maxPinMillis: Long = 120_000,
    /** Retries that are allowed in a burst before the budget of [retryBudgetPercent] limits them. */
    public val retryBurst: Int = 32,
    public val maxAttempts: Int = 4,
    /** Prefill time of this node's calls that may queue at a server; further calls wait at the node, where they can be reordered. */
    public val maxPrefillQueueMillis: Long = 1_000,
    /** How long a call may wait for the server that has its prompt prefix cached while another server has room. */
    public val maxHoldMillis: Long = 2_000,
    /**
     * Candidates whose estimates exceed the best one by at most this percentage, or by at most 5 ms, count as equal. One that has
     * at least half of the prompt cached is preferred; otherwise one is chosen at random.
     */
    public val nearEqualPercent: Int = 10,
    /** A call whose program's deadline is nearer than this precedes the other calls of its account and class. */
    public val nearDeadlineMillis: Long = 15_000,
    /** A lost connection counts as a crash unless the server responds within this time. */
    public val crashVerdictMillis: Long = 1_000,
    /** Ends the isolation of a suspected poison request at its first token instead of at its end. */
    public val isolationEndsAtFirstToken: Boolean = false,
    public val findStreamMillis: Long = 5_000,
    /** Initial backoff of new calls to a server that refused a connection or stopped responding. */
    public val serverBackoffMillis: Long = 1_000,
    public val accountShareExpiryMillis: Long = 5_000,
    /** Half-life by which the expected length of an unpinned cached prefix decreases with its age. */
    public val cacheHalfLifeMillis: Long = 180_000,
    /** Fill level of a server's cache from which caches of paused programs are no longer pinned by default. */
    public val cachePressurePercent: Int = 85,
    /** Maximum share of a server's cache that this node may pin. */
    public val maxPinnedPercent: Int = 50,
    public val domainDistanceMillis: Long = 1,
    /** Engines load a requested model on demand. Otherwise servers that don't report the model as loaded get no calls for it. */
    public val enginesLoadOnDemand: Boolean = false,
    public val weightBytesPerSecond: Long = 2_000_000_000,
    /** Waiting calls per server with the model loaded, above which the model is loaded on one more server. */
    public val scaleUpWaitingCalls: Int = 4,
    public val scaleUpMillis: Long = 10_000,
    public val scaleDownMillis: Long = 60_000,
    public val modelOrderMillis: Long = 120_000,
)
