package lavendertrail.dispatch

import kotlinx.serialization.Serializable
import lavendertrail.model.CallId
import lavendertrail.model.ServerId

/** Why an attempt went where it went. [estimates] has the chosen server first, then the best others. */
@Serializable
public data class PlacementNote(
    public val call: CallId,
    public val attempt: Int,
    public val server: ServerId,
    public val atMillis: Long,
    public val waitedMillis: Long,
    public val lane: String,
    public val level: Int,
    public val isolated: Boolean,
    public val resumed: Boolean,
    public val estimates: List<CandidateEstimate>,
)
