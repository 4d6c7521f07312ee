package lavendertrail.serving

/*
 * Requests that arrive at a process that has just started and has not read its configuration yet. After a restart of all entry
 * hosts at once every caller meets such a process; the configuration is there within a few tenths of a second, well before a
 * refused caller would be back.
 */

/** A request that waits for the first configuration. */
internal data class EarlyRequest(
    val key: RequestKey,
    val request: CallerRequest,
    val arrivedMillis: Long,
)

internal fun ServingWork.noteStart() {
    if (parts.startedAtMillis == null) parts = parts.copy(startedAtMillis = nowMillis)
}

/** Whether the first configuration and servers are probably about to be read. */
private fun ServingWork.isStarting(): Boolean = nowMillis - (parts.startedAtMillis ?: nowMillis) < settings.startHoldMillis

internal fun ServingWork.arriveEarly(
    key: RequestKey,
    request: CallerRequest,
) {
    if (!isStarting()) return rejectUnready(key)
    parts = parts.copy(earlyRequests = parts.earlyRequests.add(EarlyRequest(key, request, nowMillis)))
}

/** Admits the early requests once there is something to serve them with, or refuses them when that takes too long. */
internal fun ServingWork.releaseEarlyRequests() {
    val waiting = parts.earlyRequests
    if (waiting.isEmpty()) return
    val canServe = parts.config != null && parts.servers.isNotEmpty()
    if (!canServe && isStarting()) return
    parts = parts.copy(earlyRequests = waiting.clear())
    for (early in waiting) if (canServe) admit(early.key, early.request, early.arrivedMillis) else rejectUnready(early.key)
}

internal fun ServingWork.forgetEarlyRequest(key: RequestKey) {
    if (parts.earlyRequests.isEmpty()) return
    parts = parts.copy(earlyRequests = parts.earlyRequests.removeAll { it.key == key })
}

private fun ServingWork.rejectUnready(key: RequestKey) = emit(Reject(key, RejectReason.NO_CONFIGURATION, RETRY_UNREADY_MILLIS))
