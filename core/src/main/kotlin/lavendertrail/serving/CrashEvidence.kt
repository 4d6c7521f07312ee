package lavendertrail.serving

import kotlinx.serialization.Serializable

/**
 * What an entry host has seen of a request with [fingerprint] at a server, as it tells it to the others. [attemptId] is the caller's
 * attempt. Times are relative, since the clocks of hosts differ.
 */
@Serializable
public data class CrashEvidence(
    val kind: CrashEvidenceKind,
    val fingerprint: String,
    val attemptId: String,
    val serverId: String,
    val startedMillisAgo: Long,
    val endedMillisAgo: Long,
    /** Who sent the request; see [CallerRequest.senderId]. */
    val senderId: String = "",
)

public enum class CrashEvidenceKind {
    /** The connection was lost while the server had the request, so the request may have crashed it. */
    CONNECTION_LOST,

    /** The server has answered a later request soon after [CONNECTION_LOST], so it didn't crash. */
    SERVER_ALIVE,

    /** The server has answered the request. */
    COMPLETED,

    /** A host sends an isolated request once more, to see whether it still crashes servers. */
    TRIED,
}
