package lavendertrail.dispatch

import kotlinx.serialization.Serializable
import lavendertrail.model.CallId
import lavendertrail.model.ServerId

/** Why an attempt was sent to its server. [estimates] starts with the chosen server, followed by the best of the others. */
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
