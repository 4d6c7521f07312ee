package lavendertrail.serving

/** An action that the serving reducer requests from the process. */
public sealed interface ServingEffect

/** Fetches the turns up to and including [turnId]; answered by [HistoryLoaded]. */
public data class LoadHistory(
    val key: RequestKey,
    val turnId: String,
    val programId: String?,
    val timeoutMillis: Long,
) : ServingEffect

/** Looks up the servers that sent the first event of the stream to the caller's attempt [attemptId]; answered by [StreamOriginLoaded]. */
public data class LoadStreamOrigin(
    val key: RequestKey,
    val attemptId: String,
    val timeoutMillis: Long,
) : ServingEffect

/**
 * Looks up what the caller has of the stream that its attempt [streamId] began, up to the event [lastEventId]; answered by
 * [StreamPartLoaded]. The part counts only if it belongs to the same turn: of [programId], after [previousTurnId], with the same body.
 */
public data class LoadStreamPart(
    val key: RequestKey,
    val streamId: String,
    val lastEventId: String,
    val programId: String?,
    val previousTurnId: String?,
    val timeoutMillis: Long,
) : ServingEffect

/** Reserves [tokens] in the program's [budgetTokens] for [retentionMillis] at most; answered by [TokensReserved]. */
public data class ReserveTokens(
    val key: RequestKey,
    val programId: String,
    val sessionId: String?,
    val attemptId: String,
    val tokens: Int,
    val budgetTokens: Int,
    val timeoutMillis: Long,
    val retentionMillis: Long,
) : ServingEffect

/** Replaces a reservation by the tokens of the events that have reached the caller, which count for [retentionMillis]. */
public data class SettleTokens(
    val key: RequestKey,
    val programId: String,
    val sessionId: String?,
    val attemptId: String,
    val tokensPerEvent: Int,
    val retentionMillis: Long,
    /** The server that generated the tokens, where it has cached the whole prompt. */
    val serverId: String?,
) : ServingEffect

/**
 * Sends the request to [server]; answered by [AnswerStarted] and [AttemptEnded]. A complete streamed answer is stored as a turn
 * for [turnRetentionMillis], where that is set. The stream's origin is stored with its first event, and again while it goes on, as
 * [originLease] says, where that is set. Where both are, the part of an answer that ends early is stored for as long as the origin.
 */
public data class SendToServer(
    val key: RequestKey,
    val server: BackendServer,
    val deadlineMillis: Long,
    val resumeAfterEventId: String?,
    val isStream: Boolean,
    val turnRetentionMillis: Long?,
    val originLease: OriginLease? = null,
    /** The caller's client account, which the server is told; null on public routes and where there are no accounts. */
    val accountName: String? = null,
    /** Whether neither the caller's key nor the account that it states may reach the server. */
    val hidesAccountKey: Boolean = false,
    /** Null where requests have no home server. */
    val cause: PlacementCause? = null,
) : ServingEffect

/** Answers the request with a rejection; the caller may retry after [retryAfterMillis]. */
public data class Reject(
    val key: RequestKey,
    val reason: RejectReason,
    val retryAfterMillis: Long? = null,
    val detail: String = "",
    /** The caller's client account, for the log. */
    val accountName: String? = null,
) : ServingEffect

/** Closes the caller's connection, because an answer that has begun can't be completed. */
public data class AbortResponse(
    val key: RequestKey,
    val detail: String,
) : ServingEffect

/** Cancels the running attempt; no [AttemptEnded] follows. */
public data class CancelAttempt(
    val key: RequestKey,
) : ServingEffect

/** Asks the turn host that decides about the limit of the request's account; answered by [QuotaDecided]. */
public data class AskQuota(
    val key: RequestKey,
    val question: QuotaQuestion,
) : ServingEffect

/**
 * Asks the pacer that all entry hosts share for a permit to send the request to one of [candidates], the preferred one first;
 * answered by [PermitDecided].
 */
public data class RequestPermit(
    val key: RequestKey,
    val candidates: List<PermitCandidate>,
    val maxWaitMillis: Long,
) : ServingEffect

/**
 * Reports the request limit that a server states to the pacers; null if it no longer states one. [isChanged] is false for
 * repeated reports of the same limit.
 */
public data class ReportRequestLimit(
    val serverId: String,
    val requestsPerSecond: Double?,
    val isChanged: Boolean,
) : ServingEffect

/** Reports [evidence] about requests that may crash servers to the other entry hosts, through all turn hosts or that at [address]. */
public data class ReportCrashEvidence(
    val evidence: List<CrashEvidence>,
    val address: String? = null,
) : ServingEffect

/**
 * Reports that a server has said in the answer to [key] that it leaves, or later that its entry says so too. [entryLagMillis] is the
 * time that the entry took; null while it still says otherwise.
 */
public data class ReportLeavingServer(
    val serverId: String,
    val key: RequestKey?,
    val isFirst: Boolean,
    val entryLagMillis: Long?,
) : ServingEffect

/**
 * Closes the idle connections to a server that was removed or leaves. [lastSentAfterMillis] is the time from that change to the last
 * request that was sent to the server; negative for a request before it, null if none was sent.
 */
public data class CloseServerConnections(
    val id: String,
    val lastSentAfterMillis: Long? = null,
) : ServingEffect
