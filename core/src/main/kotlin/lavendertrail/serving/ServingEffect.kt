package lavendertrail.serving

/** What the serving reducer asks of the process. */
public sealed interface ServingEffect

/** Fetch the turns that [turnId] ends; answered by [HistoryLoaded]. */
public data class LoadHistory(
    val key: RequestKey,
    val turnId: String,
    val programId: String?,
    val timeoutMillis: Long,
) : ServingEffect

/** Reserve [tokens] in the program's [budgetTokens]; answered by [TokensReserved]. */
public data class ReserveTokens(
    val key: RequestKey,
    val programId: String,
    val sessionId: String?,
    val attemptId: String,
    val tokens: Int,
    val budgetTokens: Int,
    val timeoutMillis: Long,
) : ServingEffect

/** Replace a reservation by the tokens of the events that have reached the caller. */
public data class SettleTokens(
    val key: RequestKey,
    val programId: String,
    val sessionId: String?,
    val attemptId: String,
    val tokensPerEvent: Int,
    /** The server that generated them, where it has cached the whole prompt. */
    val serverId: String?,
) : ServingEffect

/**
 * Send the request to [server]; answered by [AnswerStarted] and [AttemptEnded]. A whole streamed answer becomes a turn that
 * is kept for [turnRetentionMillis], where that is set.
 */
public data class SendToServer(
    val key: RequestKey,
    val server: BackendServer,
    val deadlineMillis: Long,
    val resumeAfterEventId: String?,
    val isStream: Boolean,
    val turnRetentionMillis: Long?,
) : ServingEffect

/** Answer the request; the caller may come back after [retryAfterMillis]. */
public data class Reject(
    val key: RequestKey,
    val reason: RejectReason,
    val retryAfterMillis: Long? = null,
    val detail: String = "",
) : ServingEffect

/** End the caller's connection, because an answer that has begun can't be completed. */
public data class AbortResponse(
    val key: RequestKey,
    val detail: String,
) : ServingEffect

/** Give up the sending that is under way, without an [AttemptEnded]. */
public data class CancelAttempt(
    val key: RequestKey,
) : ServingEffect

/** Close connections to a server that is gone. */
public data class CloseServerConnections(
    val id: String,
) : ServingEffect
