package lavendertrail.turns

import kotlinx.serialization.Serializable
import lavendertrail.serving.StreamOrigin

/**
 * The [origin] of the stream whose first event the caller's attempt [attemptId] received. It never changes, but is stored again with a
 * later expiry while the stream goes on.
 */
@Serializable
internal data class OriginRecord(
    val attemptId: String,
    val origin: StreamOrigin,
    val expiresAtEpochMillis: Long,
)
