package lavendertrail.serving

/*
 * Streams that a caller resumes after a broken connection. What servers of different versions generate doesn't fit together, and
 * servers don't check it, so a stream continues only at the version that began it. The caller names its attempt that brought the
 * first event; the turn hosts know which version that was, whichever entry host served it.
 *
 * A turn that is resumed is kept as a whole, so what its caller has of it must be known: another run would say something else. The
 * entry host that served the earlier part has stored it when it ended. Where it isn't known up to the event that the caller names, the
 * resume is refused before anything runs, and the program begins its turn anew.
 */

/** Whether the request continues a stream, part of which its caller has. */
internal val PendingRequest.isResume: Boolean get() = route.kind == RequestKind.STREAM && request.resumeAfterEventId != null

/** The look-up of the origin that a resume needs, or null if the request begins a stream or names no earlier attempt. */
internal fun originLookup(
    pending: PendingRequest,
    timeoutMillis: Long,
): LoadStreamOrigin? {
    val attemptId = pending.request.resumedAttemptId ?: return null
    return if (pending.isResume) LoadStreamOrigin(pending.key, pending.ownedId(attemptId), timeoutMillis) else null
}

/** The look-up of what the caller has of a resumed turn, or null if the request resumes none, or its output isn't kept. */
internal fun partLookup(
    pending: PendingRequest,
    timeoutMillis: Long,
): LoadStreamPart? {
    if (!pending.isResume || pending.route.turnRetentionMillis == null) return null
    val request = pending.request
    return LoadStreamPart(
        key = pending.key,
        streamId = pending.ownedId(request.resumedAttemptId ?: return null),
        lastEventId = request.resumeAfterEventId ?: return null,
        programId = request.programId,
        previousTurnId = request.previousTurnId?.let(pending::ownedId),
        timeoutMillis = timeoutMillis,
    )
}

internal fun ServingWork.handleStreamPartLoaded(event: StreamPartLoaded) {
    val pending = pendingRequest(event.key) ?: return
    if (event.result == StreamPartResult.FOUND) {
        putRequest(pending.copy(awaitsPart = false))
        return placeRequest(event.key)
    }
    val retryAfterMillis = if (event.result == StreamPartResult.UNCERTAIN) UNCERTAIN_RETRY_MILLIS else null
    rejectRequest(pending, RejectReason.STREAM_PART_UNKNOWN, retryAfterMillis, detail = event.result.name.lowercase())
}

internal fun ServingWork.handleStreamOriginLoaded(event: StreamOriginLoaded) {
    val pending = pendingRequest(event.key) ?: return
    val origin = event.origin
    if (origin == null) {
        val retryAfterMillis = if (event.isCertain) null else UNCERTAIN_RETRY_MILLIS
        return rejectRequest(pending, RejectReason.STREAM_ORIGIN_UNKNOWN, retryAfterMillis)
    }
    // A route with several services may choose another one for the new attempt.
    val service =
        parts.config
            ?.services
            ?.get(origin.service)
            ?.takeIf { spec -> pending.route.targets.any { it.service == spec.name } }
    if (service == null) return rejectRequest(pending, RejectReason.STREAM_VERSION_GONE, detail = origin.toString())
    putRequest(pending.copy(awaitsOrigin = false, service = service, requiredOrigin = origin))
    placeRequest(event.key)
}

/**
 * The origin that later attempts of the request need. Once an event has reached the caller, only servers like the one that sent it
 * may go on.
 */
internal fun PendingRequest.originAfter(event: AttemptEnded): StreamOrigin? =
    requiredOrigin ?: sentTo?.streamOrigin.takeIf { route.kind == RequestKind.STREAM && event.isAnswerStarted }

/** Whether [server] may handle the request as far as software versions are concerned. */
internal fun PendingRequest.fitsVersionOf(server: BackendServer): Boolean = requiredOrigin == null || server.streamOrigin == requiredOrigin
