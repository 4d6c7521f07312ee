package lavendertrail.program

import kotlinx.serialization.Serializable

/** Limits on what one node holds for programs. */
@Serializable
public data class ProgramSettings(
    public val maxWaitingCalls: Int = 64,
    public val maxWaitingMillis: Long = 30_000,
    public val endedRetentionMillis: Long = 600_000,
    public val bytesPerToken: Int = 4,
)
