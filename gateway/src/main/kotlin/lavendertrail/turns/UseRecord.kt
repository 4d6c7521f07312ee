package lavendertrail.turns

import kotlinx.serialization.Serializable
import lavendertrail.serving.TokenUse

/**
 * Tokens of a program's budget that one attempt has reserved or, if [isSettled], delivered to the caller. [serverId] is the
 * server that generated them, which has the prompt of the next turn of [sessionId] in its cache.
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
    public val tokenUse: TokenUse get() = TokenUse(tokens, isSettled)
}
