package lavendertrail.serving

import kotlinx.serialization.Serializable

/**
 * What a [RequestPacer] decides about one request: the request may be sent to [serverId] after [waitMillis]. [serverId] is null if
 * no server accepts a request soon enough.
 */
@Serializable
public data class PermitDecision(
    val serverId: String?,
    val waitMillis: Long,
    /** When each candidate accepts the next request, by server id. */
    val nextWaitMillis: Map<String, Long>,
    /** Candidates that no longer state a limit. */
    val unlimitedServerIds: Set<String> = emptySet(),
)
