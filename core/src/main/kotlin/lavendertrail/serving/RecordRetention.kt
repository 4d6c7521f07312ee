package lavendertrail.serving

/*
 * How long turn hosts keep the records of a stream or a program. Each time follows from the promise that the record serves and from
 * the configuration under which it is stored: the origin of a stream is needed as long as its caller waits for the stream, and the
 * token uses of a program as long as it may return with one of its turns. A record whose subject outlives it is stored again.
 */

/**
 * The id under which the origin of a stream is kept, and for how long after it was last stored. It is stored again while the stream
 * goes on.
 */
public data class OriginLease(
    val attemptId: String,
    val retentionMillis: Long,
)

/** The lease of the origin of the stream that [pending] begins or resumes; null if callers can't resume it. */
internal fun ServingWork.originLease(pending: PendingRequest): OriginLease? {
    if (pending.route.kind != RequestKind.STREAM || !pending.route.isResumable) return null
    val firstAttemptId = pending.request.resumedAttemptId?.takeIf { pending.isResume } ?: pending.request.attemptId
    val waitMillis = pending.remainingMillis(nowMillis).coerceIn(0, settings.maxOriginWaitMillis)
    val retentionMillis = waitMillis + pending.route.callerPatienceMillis + settings.streamOriginRetentionMillis
    return OriginLease(pending.ownedId(firstAttemptId), retentionMillis)
}

/**
 * How long the tokens that [pending] uses count after they are stored: for its own duration, and then for as long as its program may
 * return. Uses that a later request of the program finds older than [TOKEN_USE_RENEWAL_MILLIS] are stored again.
 */
internal fun ServingWork.useRetentionMillis(pending: PendingRequest): Long {
    val returnMillis = (parts.config?.longestTurnRetentionMillis ?: 0) + TOKEN_USE_RENEWAL_MILLIS
    return maxOf(returnMillis, settings.minUseRetentionMillis) + pending.remainingMillis(nowMillis).coerceAtLeast(0)
}

/** How much sooner than a program's newest token use another one may expire before it is stored again. */
public const val TOKEN_USE_RENEWAL_MILLIS: Long = 60_000
