package lavendertrail.serving

/*
 * Requests for which this process has no configuration, or maybe not the newest one.
 *
 * Holds requests that arrive after the start of the process and before it has read its configuration and what other entry hosts
 * have reported about requests that crash servers. After a simultaneous restart of all entry hosts every caller reaches such a
 * process. Both are read within a few tenths of a second, well before a rejected caller would retry.
 */

/** A request that waits for the first configuration or for the reports of other entry hosts. */
internal data class EarlyRequest(
    val key: RequestKey,
    val request: CallerRequest,
    val arrivedMillis: Long,
)

internal fun ServingWork.recordStartTime() {
    if (parts.startedAtMillis == null) parts = parts.copy(startedAtMillis = nowMillis)
}

/** Whether the process started so recently that its first configuration and servers are probably still being read. */
private fun ServingWork.isStarting(): Boolean = nowMillis - (parts.startedAtMillis ?: nowMillis) < settings.startupWaitMillis

/** Whether requests must wait, since this process may not have heard yet which of them crash servers. */
internal fun ServingWork.awaitsCrashReports(): Boolean = !parts.areCrashReportsKnown && isStarting()

/** Whether requests must wait, since this process has read its client accounts but not yet heard that no newer ones are in force. */
internal fun ServingWork.awaitsAccounts(): Boolean = parts.config?.accounts != null && !parts.areKeysTrusted(nowMillis) && isStarting()

internal fun ServingWork.recordCrashReportsKnown(areKnown: Boolean) {
    parts = parts.copy(areCrashReportsKnown = areKnown)
    releaseEarlyRequests()
}

internal fun ServingWork.holdEarlyRequest(
    key: RequestKey,
    request: CallerRequest,
) {
    if (!isStarting()) return rejectNotReady(key)
    parts = parts.copy(earlyRequests = parts.earlyRequests.add(EarlyRequest(key, request, nowMillis)))
}

/** Admits the held requests once a configuration and a server are known, or rejects them after the startup wait. */
internal fun ServingWork.releaseEarlyRequests() {
    val waiting = parts.earlyRequests
    if (waiting.isEmpty()) return
    val canServe = parts.config != null && parts.servers.isNotEmpty() && !awaitsCrashReports() && !awaitsAccounts()
    if (!canServe && isStarting()) return
    parts = parts.copy(earlyRequests = waiting.clear())
    for (early in waiting) if (canServe) admitRequest(early.key, early.request, early.arrivedMillis) else rejectNotReady(early.key)
}

internal fun ServingWork.removeEarlyRequest(key: RequestKey) {
    if (parts.earlyRequests.isEmpty()) return
    parts = parts.copy(earlyRequests = parts.earlyRequests.removeAll { it.key == key })
}

internal fun ServingWork.recordStoreHeard() {
    parts = parts.copy(storeHeardAtMillis = nowMillis)
}

/** Rejects a request without a route. Where a newer configuration may have the route, the caller is asked to come back. */
internal fun ServingWork.rejectWithoutRoute(
    key: RequestKey,
    config: ServingConfig,
) {
    val silenceMillis = parts.storeHeardAtMillis?.let { nowMillis - it }
    val detail = "configuration ${config.version}, store silent for $silenceMillis ms"
    if (parts.isConfigCurrent(nowMillis)) emit(Reject(key, RejectReason.NO_ROUTE, detail = detail)) else rejectNotReady(key, detail)
}

/** Whether the platform's store has been heard so recently that a newer configuration need not be in force yet. */
internal fun ServingParts.isConfigCurrent(nowMillis: Long): Boolean {
    val boundMillis = settings.configBoundMillis ?: return true
    return storeHeardAtMillis != null && nowMillis - storeHeardAtMillis < boundMillis
}

/** The route exists, so that a later configuration may name a usable service for it. */
internal fun ServingWork.rejectWithoutService(
    key: RequestKey,
    route: Route,
) = emit(Reject(key, RejectReason.NO_SERVER, NOT_READY_RETRY_MILLIS, "route ${route.name} has no service"))

private fun ServingWork.rejectNotReady(
    key: RequestKey,
    detail: String = "",
) = emit(Reject(key, RejectReason.NO_CONFIGURATION, NOT_READY_RETRY_MILLIS, detail))
