package lavendertrail.dispatch

import kotlinx.serialization.Serializable

/** Knobs of dispatch; docs/policy.md explains them to operators. */
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
    /** Retries that may happen at once before the budget of [retryBudgetPercent] limits them. */
    public val retryBurst: Int = 32,
    public val maxAttempts: Int = 4,
    /** Prefill of own calls that may queue at a server while others wait here, where they can still be reordered. */
    public val maxPrefillQueueMillis: Long = 1_000,
    /** How long a call may wait for the server that holds its prefix while another server has room. */
    public val maxHoldMillis: Long = 2_000,
    /** Candidates within this percentage of the best estimate are chosen among at random. */
    public val nearEqualPercent: Int = 10,
    /** A call whose program's deadline is nearer than this goes before others of its account and class. */
    public val nearDeadlineMillis: Long = 15_000,
    /** Time in which a lost connection must be explained before it counts as a crash. */
    public val crashVerdictMillis: Long = 1_000,
    /** Lets others onto a suspect's server after its first token instead of after its end. */
    public val isolationEndsAtFirstToken: Boolean = false,
    public val findStreamMillis: Long = 5_000,
    /** No new work for a server after it refused a connection or fell silent. */
    public val serverBackoffMillis: Long = 1_000,
    public val accountShareExpiryMillis: Long = 5_000,
    /** Age after which half of what is believed about an unpinned cached prefix counts. */
    public val cacheHalfLifeMillis: Long = 180_000,
    /** Fill of a server's cache above which pauses are no longer bridged by default. */
    public val cachePressurePercent: Int = 85,
    /** Share of a server's cache that this node's pins may take. */
    public val maxPinnedPercent: Int = 50,
    public val domainDistanceMillis: Long = 1,
    /** Engines load a model that is asked for; without it, servers that don't report the model get no calls for it. */
    public val enginesLoadOnDemand: Boolean = false,
    public val weightBytesPerSecond: Long = 2_000_000_000,
    /** Waiting calls per loaded server above which a model gets one more server. */
    public val scaleUpWaitingCalls: Int = 4,
    public val scaleUpMillis: Long = 10_000,
    public val scaleDownMillis: Long = 60_000,
    public val modelOrderMillis: Long = 120_000,
)
