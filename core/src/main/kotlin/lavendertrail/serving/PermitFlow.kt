package lavendertrail.serving

/*
 * Requests to servers that state a request limit. Such a request needs a permit of the pacer that all entry hosts share, since one
 * host sees only its own share of the server's requests.
 */

/** Requests a permit for one of the limited servers, the best of them first. */
internal fun ServingWork.requestPermit(
    pending: PendingRequest,
    input: PlacementInput,
    servers: List<ServerState>,
    maxWaitMillis: Long,
) {
    val candidates =
        servers.map { state ->
            PermitCandidate(
                serverId = state.server.id,
                requestsPerSecond = checkNotNull(state.requestLimit).requestsPerSecond,
                statedMillisAgo = nowMillis - state.requestLimit.statedAtMillis,
                startDelayMillis = input.delayAfterSendMillis(state).toLong(),
            )
        }
    putRequest(
        pending.copy(
            stage = PendingRequest.Stage.PREPARING,
            permitRequests = pending.permitRequests + 1,
            permitRequestedAtMillis = nowMillis,
        ),
    )
    emit(RequestPermit(pending.key, candidates, maxWaitMillis))
}

internal fun ServingWork.handlePermitDecided(event: PermitDecided) {
    val pending = pendingRequest(event.key)
    val requestedAtMillis = pending?.permitRequestedAtMillis
    val decision = event.decision ?: decideWithoutPacer(event.candidates, event.maxWaitMillis)
    // A turn host that has just started knows no entry hosts yet.
    event.entryHostCount?.takeIf { it > 0 }?.let { parts = parts.copy(entryHostCount = it) }
    for ((serverId, waitMillis) in decision.nextWaitMillis) {
        updateServer(serverId) { it.copy(nextPermitAtMillis = nowMillis + waitMillis) }
    }
    if (pending == null) return
    if (requestedAtMillis == null) return placeRequest(event.key)
    for (serverId in decision.unlimitedServerIds) endRequestLimit(serverId, requestedAtMillis, isObserved = false)
    if (decision.serverId == null) return placeRequest(event.key)
    val permit = Permit(decision.serverId, nowMillis + decision.waitMillis, requestedAtMillis + decision.waitMillis)
    putRequest(pending.copy(permit = permit, permitRequestedAtMillis = null))
    usePermit(event.key)
}

/** Sends the requests whose permit has come into force. */
internal fun ServingWork.usePermits() {
    parts.requests.values
        .filter { it.permit != null && it.permit.startsAtMillis <= nowMillis }
        .sortedBy { it.permit?.startsAtMillis }
        .forEach { usePermit(it.key) }
}

/** Sends the request if its permit is in force. A permit that the process comes to use too late counts towards a later rate. */
private fun ServingWork.usePermit(key: RequestKey) {
    val pending = pendingRequest(key) ?: return
    val permit = pending.permit ?: return
    if (permit.startsAtMillis > nowMillis) return
    val used = pending.copy(permit = null)
    putRequest(used)
    val isLapsed = nowMillis - permit.promisedForMillis > settings.permitValidityMillis
    val server = candidates(used).firstOrNull { it.server.id == permit.serverId }?.server
    if (isLapsed || server == null) placeRequest(key) else sendToServer(used, server, permitCause())
}

private fun ServingWork.permitCause() = PlacementCause(PlacementReason.PERMIT).takeIf { settings.homePreferenceMillis != null }

/** Makes all permits lapse, also those whose grant is still on its way: the process stood still for an unknown time. */
internal fun ServingWork.dropPermits() {
    val affected = parts.requests.values.filter { it.permit != null || it.permitRequestedAtMillis != null }
    for (pending in affected) {
        putRequest(pending.copy(permit = null, permitRequestedAtMillis = null))
        if (pending.permit != null) placeRequest(pending.key)
    }
}

/**
 * Uses a part of this host's share of the limits while the pacer doesn't answer, which may be out of reach for some entry hosts only
 * and hand out the whole limit to the others.
 */
private fun ServingWork.decideWithoutPacer(
    candidates: List<PermitCandidate>,
    maxWaitMillis: Long,
): PermitDecision {
    val own = candidates.map { it.copy(requestsPerSecond = it.requestsPerSecond * UNPACED_PART / parts.entryHostCount) }
    val (next, decision) = parts.ownPacer.decide(own, maxWaitMillis, nowMillis)
    parts = parts.copy(ownPacer = next)
    return decision
}

/** The part of a limit that all entry hosts together may use without the pacer. */
private const val UNPACED_PART = 0.5

/** Records limits that other entry hosts have learnt from answers. */
internal fun ServingWork.recordLearntLimits(limits: List<StatedLimit>) {
    for (limit in limits) {
        val rate = limit.requestsPerSecond ?: continue
        val statedAtMillis = nowMillis - limit.statedMillisAgo
        updateServer(limit.serverId) { state ->
            val known = state.requestLimit?.statedAtMillis ?: state.limitEndedAtMillis
            if (known != null && known >= statedAtMillis) state else state.copy(requestLimit = RequestLimit(rate, statedAtMillis))
        }
    }
}

/** Records what an answer of the request's server states about its limit; null if the answer states none. */
internal fun ServingWork.recordStatedLimit(
    pending: PendingRequest,
    requestsPerSecond: Double?,
) {
    val serverId = pending.serverId ?: return
    if (parts.servers[serverId]?.server?.serverRun != pending.sentTo?.serverRun) return
    if (requestsPerSecond == null) return endRequestLimit(serverId, pending.sentAtMillis, isObserved = true)
    val state = parts.servers[serverId] ?: return
    val isChanged = state.requestLimit?.requestsPerSecond != requestsPerSecond
    val isReportDue = isChanged || nowMillis - state.limitReportedAtMillis >= settings.limitReportMillis
    updateServer(serverId) {
        it.copy(
            requestLimit = RequestLimit(requestsPerSecond, nowMillis),
            limitReportedAtMillis = if (isReportDue) nowMillis else it.limitReportedAtMillis,
        )
    }
    if (isReportDue) emit(ReportRequestLimit(serverId, requestsPerSecond, isChanged))
}

/**
 * Ends a limit that was last stated before [asOfMillis]; a newer statement stays in force. Only what this host has observed itself
 * is reported to others.
 */
private fun ServingWork.endRequestLimit(
    serverId: String,
    asOfMillis: Long,
    isObserved: Boolean,
) {
    val limit = parts.servers[serverId]?.requestLimit ?: return
    if (asOfMillis < limit.statedAtMillis) return
    updateServer(serverId) { it.copy(requestLimit = null, limitEndedAtMillis = nowMillis) }
    if (isObserved) emit(ReportRequestLimit(serverId, null, isChanged = true))
}
