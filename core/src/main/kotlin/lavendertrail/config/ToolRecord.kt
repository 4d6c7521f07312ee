package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.ServerId
import lavendertrail.model.ToolId

/** A tool or plain service. [hasStatusCall] tells whether it answers `GET /calls/<key>` about an earlier call. */
@Serializable
public data class ToolRecord(
    public val tool: ToolId,
    public val servers: List<ServerId>,
    public val repeatable: Boolean,
    public val hasStatusCall: Boolean = false,
    public val timeoutMillis: Long = 30_000,
    public val costMicros: Long = 0,
)
