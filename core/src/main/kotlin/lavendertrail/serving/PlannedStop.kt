package lavendertrail.serving

/*
 * A planned stop of the process. A request is passed on to a server only if its own deadline ends it before the stop does: what has
 * begun by then is answered whole, however long it takes. All others are refused as not run, and their callers reach another entry
 * host over a new connection. Requests that were sent before the stop was announced go on until shortly before its end.
 */

internal fun ServingWork.announceStop(event: StopAnnounced) {
    if (parts.stopsAtMillis != null) return
    parts = parts.copy(stopsAtMillis = event.endsAtMillis)
    rejectEarlyRequests()
    parts.requests.values
        .filter { it.stage == PendingRequest.Stage.PREPARING && parts.outlastsStop(it) }
        .forEach { rejectAtStop(it) }
}

/**
 * Whether [pending] must not be sent to a server any more. A request that may have run, or whose answer has begun, goes on: its caller
 * can't be told that it has not run.
 */
internal fun ServingParts.outlastsStop(pending: PendingRequest): Boolean =
    stopsAtMillis != null && pending.possiblyRunAttempts == 0 && pending.deadlineAtMillis >= stopsAtMillis

internal fun ServingWork.rejectAtStop(pending: PendingRequest) = rejectRequest(pending, RejectReason.STOPPING, STOPPING_RETRY_MILLIS)

/** Answers all requests once the process is about to end: as not run, or as failed if a server may have begun to run them. */
internal fun ServingWork.endRequestsAtStop() {
    val stopsAtMillis = parts.stopsAtMillis ?: return
    if (nowMillis < stopsAtMillis) return
    rejectEarlyRequests()
    parts.requests.values.forEach { endRequestAtStop(it) }
}

private fun ServingWork.rejectEarlyRequests() {
    for (early in parts.earlyRequests) emit(Reject(early.key, RejectReason.STOPPING, STOPPING_RETRY_MILLIS))
    parts = parts.copy(earlyRequests = parts.earlyRequests.clear())
}

private fun ServingWork.endRequestAtStop(pending: PendingRequest) {
    if (pending.stage == PendingRequest.Stage.PREPARING) {
        return rejectUnlessPossiblyRun(pending, RejectReason.STOPPING, STOPPING_RETRY_MILLIS)
    }
    updateServer(pending.serverId) { it.withAttemptEnded() }
    emit(CancelAttempt(pending.key))
    rejectRequest(pending, RejectReason.SERVER_FAILED, detail = "the process stops")
}

/** Other entry hosts can take the request at once. */
internal const val STOPPING_RETRY_MILLIS = 0L
