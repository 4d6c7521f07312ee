package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash

/*
 * Which requests are taken on: the route, the account and the service of a request, and whether there is time, room and leave for it.
 */

internal fun ServingWork.handleRequestArrived(
    key: RequestKey,
    request: CallerRequest,
) = admitRequest(key, request, nowMillis)

/** Admits or rejects a request that arrived at [arrivedMillis], from which its deadline counts. */
internal fun ServingWork.admitRequest(
    key: RequestKey,
    request: CallerRequest,
    arrivedMillis: Long,
) {
    val config = parts.config
    if (config == null || awaitsCrashReports() || awaitsAccounts()) return holdEarlyRequest(key, request)
    val route = config.route(request.host, request.path) ?: return rejectWithoutRoute(key, config)
    val account = config.account(route, request)
    if (rejectWithoutKey(key, route, account)) return
    val service = route.serviceFor(request)?.let { config.services[it] } ?: return rejectWithoutService(key, route)
    val timeoutMillis = minOf(route.timeoutMillis, request.deadlineMillis ?: route.timeoutMillis)
    val pending =
        PendingRequest(key, request.of(account), route, service, arrivedMillis, arrivedMillis + timeoutMillis, account = account)
            .let { it.copy(isFirstTurn = isFirstTurn(it)) }
    putRequest(pending)
    if (pending.remainingMillis(nowMillis) < settings.minRemainingMillis) return rejectRequest(pending, RejectReason.DEADLINE_PASSED)
    if (parts.outlastsStop(pending)) return rejectAtStop(pending)
    if (rejectIfIsolated(pending)) return
    if (!isAdmitted(pending)) {
        return turnAwayOverloaded(pending, admissionRetryMillis(pending), "slowdown ${slowdown(pending)}")
    }
    if (!askQuota(pending)) beginRequest(pending)
}

/** Begins the work for a request that is admitted. */
internal fun ServingWork.beginRequest(pending: PendingRequest) {
    pending.request.programId?.let { parts = parts.copy(startedPrograms = parts.startedPrograms + pending.ownedId(it)) }
    requestHistoryAndBudget(pending)
}

/** Whether the program has had a turn already, or its first turn is admitted. */
private fun ServingWork.isAdmitted(pending: PendingRequest): Boolean {
    val request = pending.request
    val program = request.programId ?: return true
    if (pending.service.engine == null || !pending.isFirstTurn) return true
    val isMostUrgent = pending.priority == parts.config?.mostUrgentPriority
    return admitBySlowdown(AdmissionInput(slowdown(pending), isMostUrgent, uniformHash(program)))
}

private fun ServingWork.isFirstTurn(pending: PendingRequest): Boolean =
    with(pending.request) {
        programId != null &&
            pending.ownedId(programId) !in parts.startedPrograms &&
            previousTurnId == null &&
            resumeAfterEventId == null
    }

private fun ServingWork.slowdown(pending: PendingRequest): Double = parts.pace[pending.service.name]?.slowdown ?: 1.0

/**
 * Retry delay of a program that is not admitted: about the time in which running programs end, spread over half a second so that
 * rejected callers don't all retry at once.
 */
private fun ServingWork.admissionRetryMillis(pending: PendingRequest): Long {
    val spreadMillis = uniformHash(pending.request.attemptId) * ADMISSION_RETRY_JITTER_MILLIS
    return (ADMISSION_RETRY_MILLIS + spreadMillis).toLong()
}

/** Null if the route has no target with a weight. */
private fun Route.serviceFor(request: CallerRequest): String? {
    if (targets.size == 1) return targets.single().service
    val subject = request.sessionId ?: request.affinityKey ?: request.attemptId
    val total = targets.sumOf { it.weight.toLong() }.coerceAtLeast(1)
    var step = Math.floorMod(mix(stableHash(subject)), total)
    return targets
        .firstOrNull { target ->
            step -= target.weight
            step < 0
        }?.service
}

/** Running programs last one to three seconds, so capacity is freed continuously. */
private const val ADMISSION_RETRY_MILLIS = 400L
private const val ADMISSION_RETRY_JITTER_MILLIS = 500L
