package lavendertrail.turns

import kotlinx.serialization.Serializable
import lavendertrail.serving.TokenUse

/**
 * Tokens of a program's budget that one attempt has reserved, or has handed out if [isSettled]. [serverId] names the server
 * that generated them, where the next turn of [sessionId] finds its prompt cached.
 */
@Serializable
public data class UseRecord(
    val programId: String,
    val attemptId: String,
    val tokens: Int,
    val isSettled: Boolean,
    val expiresAtEpochMillis: Long,
    val sessionId: String? = null,
    val serverId: String? = null,
) {
    public val use: TokenUse get() = TokenUse(tokens, isSettled)
}
