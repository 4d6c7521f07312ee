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
)
