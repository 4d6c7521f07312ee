package lavendertrail.membership

import kotlinx.serialization.Serializable

/** Times and sizes of failure detection and ownership. [partitionsInUse] is fixed for the life of a deployment. */
@Serializable
public data class MembershipSettings(
    public val probeMillis: Long = 500,
    public val probeTimeoutMillis: Long = 400,
    public val suspectAfterMillis: Long = 1_000,
    public val ringNeighbours: Int = 3,
    public val partitionsInUse: Int = 1_024,
    public val maxSwapsInFlight: Int = 16,
    public val journalCopies: Int = 2,
    public val rebalanceMillis: Long = 5_000,
    public val drainMillis: Long = 60_000,
)
