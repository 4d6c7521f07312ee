package lavendertrail.serving

import lavendertrail.membership.mix
import lavendertrail.membership.stableHash

/*
 * The way of a request: route, history and budget of a turn, placement, and the final answer.
 */

internal fun ServingWork.arrive(
    key: RequestKey,
    request: CallerRequest,
) = admit(key, request, nowMillis)

/** Takes on a request that arrived at [arrivedMillis], from which its deadline counts. */
internal fun ServingWork.admit(
    key: RequestKey,
    request: CallerRequest,
    arrivedMillis: Long,
) {
    val config = parts.config
    if (config == null) return arriveEarly(key, request)
    val route = config.route(request.host, request.path)
    val service = route?.let { config.services[it.serviceFor(request)] }
    if (route == null || service == null) return emit(Reject(key, RejectReason.NO_ROUTE, detail = "configuration ${config.version}"))
    val limitMillis = minOf(route.timeoutMillis, request.deadlineMillis ?: route.timeoutMillis)
    val pending = PendingRequest(key, request, route, service, arrivedMillis, arrivedMillis + limitMillis)
    put(pending)
    if (pending.remainingMillis(nowMillis) < settings.minSendMillis) return reject(pending, RejectReason.DEADLINE_PASSED)
    if (!admits(pending)) return reject(pending, RejectReason.OVERLOADED, comeBackMillis(pending), "slowdown ${slowdown(pending)}")
    request.programId?.let { parts = parts.copy(startedPrograms = parts.startedPrograms + it) }
    prepare(pending)
}

/** Whether the program has had a turn, or this first one can be taken on. */
private fun ServingWork.admits(pending: PendingRequest): Boolean {
    val request = pending.request
    val program = request.programId ?: return true
    val isFirstTurn = request.previousTurnId == null && program !in parts.startedPrograms && request.resumeAfterEventId == null
    if (pending.service.engine == null || !isFirstTurn) return true
    val mostUrgent = parts.config?.routes?.minOf { it.priority }
    return admitBySlowdown(AdmissionInput(slowdown(pending), pending.route.priority == mostUrgent, chance(program)))
}

private fun ServingWork.slowdown(pending: PendingRequest): Double = parts.pace[pending.service.name]?.slowdown ?: 1.0

/** A number between 0 and 1 that is the same for [subject] at all entry hosts. */
private fun chance(subject: String): Double = Math.floorMod(mix(stableHash(subject)), CHANCES) / CHANCES.toDouble()

/** Spread over half a second around the time in which running programs end, so that refused callers don't return at once. */
private fun ServingWork.comeBackMillis(pending: PendingRequest): Long {
    val spreadMillis = chance(pending.request.attemptId) * COME_BACK_SPREAD_MILLIS
    return (COME_BACK_MILLIS + spreadMillis).toLong()
}

private fun Route.serviceFor(request: CallerRequest): String {
    if (targets.size == 1) return targets.single().service
    val subject = request.sessionId ?: request.affinityKey ?: request.attemptId
    val total = targets.sumOf { it.weight }.coerceAtLeast(1)
    var step = Math.floorMod(mix(stableHash(subject)), total.toLong())
    return targets
        .first { target ->
            step -= target.weight
            step < 0
        }.service
}

/** Asks for the turn's history and budget at once, since each takes a round trip to the hosts with disks. */
private fun ServingWork.prepare(pending: PendingRequest) {
    val request = pending.request
    val limitMillis = minOf(settings.turnLookupLimitMillis, pending.remainingMillis(nowMillis))
    val history = request.previousTurnId?.takeIf { pending.route.turnRetentionMillis != null }
    val reservation = reservation(pending, limitMillis)
    put(pending.copy(awaitsHistory = history != null, awaitsBudget = reservation != null))
    if (history != null) emit(LoadHistory(pending.key, history, request.programId, limitMillis))
    if (reservation != null) emit(reservation)
    if (history == null && reservation == null) place(pending.key)
}

private fun reservation(
    pending: PendingRequest,
    limitMillis: Long,
): ReserveTokens? {
    val request = pending.request
    val program = request.programId ?: return null
    val budgetTokens = request.tokenBudget ?: return null
    if (pending.route.kind != RequestKind.STREAM) return null
    return ReserveTokens(pending.key, program, request.sessionId, request.attemptId, request.maxOutputTokens, budgetTokens, limitMillis)
}

internal fun ServingWork.historyLoaded(event: HistoryLoaded) {
    val pending = request(event.key) ?: return
    when (event.result) {
        HistoryResult.FOUND -> {
            put(pending.copy(awaitsHistory = false))
            place(event.key)
        }
        HistoryResult.NO_SUCH_TURN -> reject(pending, RejectReason.UNKNOWN_TURN)
        HistoryResult.UNCERTAIN -> reject(pending, RejectReason.TURN_UNCERTAIN, RETRY_UNCERTAIN_MILLIS)
    }
}

internal fun ServingWork.tokensReserved(event: TokensReserved) {
    val pending = request(event.key) ?: return
    when (event.result) {
        ReservationResult.RESERVED -> {
            put(pending.copy(awaitsBudget = false, isReserved = true, recentServerId = event.recentServerId))
            place(event.key)
        }
        ReservationResult.SPENT -> reject(pending, RejectReason.BUDGET_SPENT)
        ReservationResult.UNCERTAIN -> reject(pending, RejectReason.BUDGET_UNCERTAIN, RETRY_UNCERTAIN_MILLIS)
    }
}

/** Chooses a server for a request whose history and budget are settled, and sends it there. */
private fun ServingWork.place(key: RequestKey) {
    val pending = request(key) ?: return
    if (pending.awaitsHistory || pending.awaitsBudget) return
    val remainingMillis = pending.remainingMillis(nowMillis)
    if (remainingMillis < settings.minSendMillis) return refuse(pending, RejectReason.DEADLINE_PASSED)
    val candidates = candidates(pending)
    if (candidates.isEmpty()) return refuse(pending, RejectReason.NO_SERVER, RETRY_UNREADY_MILLIS)
    val chosen = estimatedStart(placementInput(pending, candidates))
    if (chosen == null) refuse(pending, RejectReason.OVERLOADED, overloadedMillis(pending)) else send(pending, chosen.server)
}

/** Answers that the request has not run, unless an earlier sending may have. */
private fun ServingWork.refuse(
    pending: PendingRequest,
    reason: RejectReason,
    retryAfterMillis: Long? = null,
) {
    if (pending.uncertainSends == 0) return reject(pending, reason, retryAfterMillis)
    if (pending.isAnswerStarted) breakOff(pending, reason.name) else reject(pending, RejectReason.SERVER_FAILED, detail = reason.name)
}

private fun ServingWork.send(
    pending: PendingRequest,
    server: BackendServer,
) {
    updateServer(server.id) { it.sent(pending.request.promptParts) }
    put(
        pending.copy(
            stage = PendingRequest.Stage.SENT,
            serverId = server.id,
            sentAtMillis = nowMillis,
            triedServers = pending.triedServers + server.id,
        ),
    )
    emit(
        SendToServer(
            key = pending.key,
            server = server,
            deadlineMillis = pending.remainingMillis(nowMillis),
            resumeAfterEventId = pending.resumeAfterEventId,
            isStream = pending.route.kind == RequestKind.STREAM,
            turnRetentionMillis = pending.route.turnRetentionMillis,
        ),
    )
}

/** Servers of the service that take new work; those with failed connections or earlier sendings only if no other is left. */
private fun ServingWork.candidates(pending: PendingRequest): List<ServerState> {
    val usable = parts.servers.values.filter { it.server.service == pending.service.name && !it.server.isDraining }
    val sound = usable.filter { it.suspectUntilMillis <= nowMillis }.ifEmpty { usable }
    return sound.filter { it.server.id !in pending.triedServers }.ifEmpty { if (pending.uncertainSends > 0) emptyList() else sound }
}

private fun ServingWork.placementInput(
    pending: PendingRequest,
    candidates: List<ServerState>,
) = PlacementInput(
    candidates = candidates,
    request = pending.request,
    isEngine = pending.service.engine != null,
    selfDomain = parts.self.value,
    recentServerId = pending.recentServerId,
    meanServiceMillis = meanServiceMillis(pending),
    nowMillis = nowMillis,
    settings = settings,
)

private fun ServingWork.meanServiceMillis(pending: PendingRequest) =
    parts.meanServiceMillis[pending.service.name] ?: settings.initialServiceMillis

/** A caller that comes back after about the time in which a full server frees some slots finds room. */
private fun ServingWork.overloadedMillis(pending: PendingRequest): Long = (meanServiceMillis(pending) * settings.maxQueueShare / 2).toLong()

internal fun ServingWork.answerStarted(event: AnswerStarted) {
    val pending = request(event.key) ?: return
    updateServer(pending.serverId) { it.reported(event.load, nowMillis).healthy() }
}

internal fun ServingWork.attemptEnded(event: AttemptEnded) {
    val pending = request(event.key) ?: return
    updateServer(pending.serverId) { it.ended().reported(event.load, nowMillis).afterAttempt(event.outcome, nowMillis, settings) }
    event.eventGapMillis?.let { observePace(pending.service.name, it) }
    if (event.outcome == AttemptOutcome.ANSWERED) return answered(pending)
    val mayHaveRun = event.outcome == AttemptOutcome.BROKEN || event.outcome == AttemptOutcome.NOT_KEPT
    val failed =
        pending.copy(
            uncertainSends = pending.uncertainSends + if (mayHaveRun) 1 else 0,
            refusals = pending.refusals + if (mayHaveRun) 0 else 1,
            isAnswerStarted = event.isAnswerStarted,
            resumeAfterEventId = event.lastEventId ?: pending.resumeAfterEventId,
        )
    put(failed)
    when (decideRetry(failed.sendingHistory(event.outcome, failed.remainingMillis(nowMillis), settings))) {
        RetryDecision.SEND_AGAIN -> place(pending.key)
        RetryDecision.REJECT -> reject(failed, RejectReason.OVERLOADED, overloadedMillis(failed), event.detail)
        RetryDecision.FAIL -> reject(failed, RejectReason.SERVER_FAILED, detail = event.detail)
        RetryDecision.BREAK_OFF -> breakOff(failed, event.detail)
    }
}

private fun ServingWork.observePace(
    service: String,
    gapMillis: Double,
) {
    val pace = parts.pace[service] ?: StreamPace()
    parts = parts.copy(pace = parts.pace.put(service, pace.observe(gapMillis)))
}

private fun ServingWork.answered(pending: PendingRequest) {
    val service = pending.service.name
    val tookMillis = (nowMillis - pending.sentAtMillis).toDouble()
    val mean = parts.meanServiceMillis[service] ?: tookMillis
    val next = mean + (tookMillis - mean) * settings.durationWeight
    parts = parts.copy(meanServiceMillis = parts.meanServiceMillis.put(service, next))
    settle(pending)
    drop(pending.key)
}

internal fun ServingWork.callerLeft(event: CallerDisconnected) {
    forgetEarlyRequest(event.key)
    val pending = request(event.key) ?: return
    if (pending.stage == PendingRequest.Stage.SENT) {
        updateServer(pending.serverId) { it.ended() }
        emit(CancelAttempt(pending.key))
    }
    settle(pending)
    drop(pending.key)
}

/** At its limit a request gets its final answer: not run if it was never sent, else failed or broken off. */
internal fun ServingWork.timeOut(pending: PendingRequest) {
    if (pending.stage == PendingRequest.Stage.PREPARING) return reject(pending, RejectReason.DEADLINE_PASSED)
    updateServer(pending.serverId) { it.ended() }
    emit(CancelAttempt(pending.key))
    reject(pending, RejectReason.TIMED_OUT)
}

private fun ServingWork.reject(
    pending: PendingRequest,
    reason: RejectReason,
    retryAfterMillis: Long? = null,
    detail: String = "",
) {
    settle(pending)
    drop(pending.key)
    emit(Reject(pending.key, reason, retryAfterMillis, detail))
}

private fun ServingWork.breakOff(
    pending: PendingRequest,
    detail: String,
) {
    settle(pending)
    drop(pending.key)
    emit(AbortResponse(pending.key, detail))
}

/** Replaces the reservation by what reached the caller, also where a later answer of the hosts with disks is still due. */
private fun ServingWork.settle(pending: PendingRequest) {
    val program = pending.request.programId ?: return
    if (!pending.isReserved && !pending.awaitsBudget) return
    val request = pending.request
    val tokensPerEvent = pending.service.engine?.tokensPerEvent ?: 1
    emit(SettleTokens(pending.key, program, request.sessionId, request.attemptId, tokensPerEvent, pending.serverId))
}

private fun PendingRequest.sendingHistory(
    outcome: AttemptOutcome,
    remainingMillis: Long,
    settings: ServingSettings,
) = SendingHistory(
    outcome = outcome,
    isRepeatable = route.isRepeatable,
    isAnswerStarted = isAnswerStarted,
    uncertainSends = uncertainSends,
    maxSends = route.maxAttempts,
    refusals = refusals,
    maxRefusals = settings.maxRefusals,
    hasTimeLeft = remainingMillis >= settings.minSendMillis,
)

private fun ServerState.afterAttempt(
    outcome: AttemptOutcome,
    nowMillis: Long,
    settings: ServingSettings,
): ServerState =
    when (outcome) {
        AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_KEPT -> healthy()
        AttemptOutcome.UNREACHABLE, AttemptOutcome.WRONG_SERVER, AttemptOutcome.BROKEN -> failed(nowMillis, settings)
    }

private const val CHANCES = 1_000_003L

/** Programs under way last one to three seconds, so places become free all the time. */
private const val COME_BACK_MILLIS = 400L
private const val COME_BACK_SPREAD_MILLIS = 500L

/** Long enough for a lost host with a disk to be passed over by the next look-up. */
private const val RETRY_UNCERTAIN_MILLIS = 200L

/** Time in which a process reads its configuration or a server registers. */
internal const val RETRY_UNREADY_MILLIS = 300L
