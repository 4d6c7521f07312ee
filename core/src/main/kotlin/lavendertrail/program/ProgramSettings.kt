package lavendertrail.program

import kotlinx.serialization.Serializable

/**
 * Limits on the state that one node keeps for programs. [maxRecentCalls] and [maxRecentTextBytes] bound, per program, the
 * finished calls whose texts stay in memory; [cancelLimitMillis] is the timeout for dispatch to report the end of a cancelled
 * call.
 */
@Serializable
public data class ProgramSettings(
    public val maxWaitingCalls: Int = 64,
    public val maxWaitingMillis: Long = 30_000,
    public val endedRetentionMillis: Long = 600_000,
    public val bytesPerToken: Int = DEFAULT_BYTES_PER_TOKEN,
    public val maxRecentCalls: Int = 8,
    public val maxRecentTextBytes: Int = 24_576,
    public val cancelLimitMillis: Long = 5_000,
    public val retryAfterMillis: Long = 200,
)
