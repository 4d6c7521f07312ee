package lavendertrail.serving

/*
 * The life cycle of an admitted request: history and budget of a turn, placement, attempts, and the final answer.
 */

/**
 * Requests the turn's history and budget, and a resumed stream's origin and earlier part, at once, since each takes a round trip to the
 * turn hosts.
 */
internal fun ServingWork.requestHistoryAndBudget(pending: PendingRequest) {
    val request = pending.request
    val timeoutMillis = minOf(settings.turnLookupTimeoutMillis, pending.remainingMillis(nowMillis))
    val history = request.previousTurnId?.takeIf { pending.route.turnRetentionMillis != null }
    val reservation = tokenReservation(pending, timeoutMillis)
    val origin = originLookup(pending, timeoutMillis)
    val part = partLookup(pending, timeoutMillis)
    if (origin == null && pending.isResume) return rejectRequest(pending, RejectReason.STREAM_ORIGIN_UNKNOWN)
    putRequest(
        pending.copy(
            awaitsHistory = history != null,
            awaitsBudget = reservation != null,
            awaitsOrigin = origin != null,
            awaitsPart = part != null,
        ),
    )
    if (history != null) emit(LoadHistory(pending.key, pending.ownedId(history), request.programId, timeoutMillis))
    if (origin != null) emit(origin)
    if (part != null) emit(part)
    if (reservation != null) emit(reservation)
    if (history == null && reservation == null && origin == null) placeRequest(pending.key)
}

private fun ServingWork.tokenReservation(
    pending: PendingRequest,
    timeoutMillis: Long,
): ReserveTokens? {
    val request = pending.request
    val program = request.programId?.let(pending::ownedId) ?: return null
    val budgetTokens = request.tokenBudget ?: return null
    if (pending.route.kind != RequestKind.STREAM) return null
    return ReserveTokens(
        key = pending.key,
        programId = program,
        sessionId = request.sessionId,
        attemptId = request.attemptId,
        tokens = request.maxOutputTokens,
        budgetTokens = budgetTokens,
        timeoutMillis = timeoutMillis,
        retentionMillis = useRetentionMillis(pending),
    )
}

internal fun ServingWork.handleHistoryLoaded(event: HistoryLoaded) {
    val pending = pendingRequest(event.key) ?: return
    when (event.result) {
        HistoryResult.FOUND -> {
            putRequest(pending.copy(awaitsHistory = false))
            placeRequest(event.key)
        }
        HistoryResult.NO_SUCH_TURN -> rejectRequest(pending, RejectReason.UNKNOWN_TURN)
        HistoryResult.UNCERTAIN -> rejectRequest(pending, RejectReason.TURN_UNCERTAIN, UNCERTAIN_RETRY_MILLIS)
    }
}

internal fun ServingWork.handleTokensReserved(event: TokensReserved) {
    val pending = pendingRequest(event.key) ?: return
    when (event.result) {
        ReservationResult.RESERVED -> {
            putRequest(pending.copy(awaitsBudget = false, isReserved = true, recentServerId = event.recentServerId))
            placeRequest(event.key)
        }
        ReservationResult.SPENT -> rejectRequest(pending, RejectReason.BUDGET_SPENT)
        ReservationResult.UNCERTAIN -> rejectRequest(pending, RejectReason.BUDGET_UNCERTAIN, UNCERTAIN_RETRY_MILLIS)
    }
}

/** Chooses a server for a request once its history and its reservation are known, and sends the request. */
internal fun ServingWork.placeRequest(key: RequestKey) {
    val known = pendingRequest(key) ?: return
    if (known.awaitsHistory || known.awaitsBudget || known.awaitsOrigin || known.awaitsPart) return
    if (parts.outlastsStop(known)) return rejectAtStop(known)
    val pending = known.copy(readyAtMillis = known.readyAtMillis ?: nowMillis)
    putRequest(pending)
    val remainingMillis = pending.remainingMillis(nowMillis)
    if (remainingMillis < settings.minRemainingMillis) return rejectUnlessPossiblyRun(pending, RejectReason.DEADLINE_PASSED)
    val candidates = candidates(pending)
    if (candidates.isEmpty()) return rejectWithoutServer(pending)
    val input = placementInput(pending, candidates)
    when (val placement = choosePlacement(input)) {
        is Placement.Send -> sendToServer(pending, placement.server, placement.cause)
        is Placement.AskPermit -> requestPermit(pending, input, placement.servers, placement.maxWaitMillis)
        Placement.Full -> turnAwayOverloaded(pending, fullRetryMillis(pending, candidates), cause = "")
    }
}

/** Another server registers within a short time, but one of a version that has left does not. */
private fun ServingWork.rejectWithoutServer(pending: PendingRequest) {
    val origin = pending.requiredOrigin ?: return rejectUnlessPossiblyRun(pending, RejectReason.NO_SERVER, NOT_READY_RETRY_MILLIS)
    rejectUnlessPossiblyRun(pending, RejectReason.STREAM_VERSION_GONE, detail = origin.toString())
}

/** Answers that the request has not run, unless an earlier attempt may have run it. */
internal fun ServingWork.rejectUnlessPossiblyRun(
    pending: PendingRequest,
    reason: RejectReason,
    retryAfterMillis: Long? = null,
    detail: String = "",
) {
    if (pending.possiblyRunAttempts == 0) return rejectRequest(pending, reason, retryAfterMillis, detail)
    if (pending.isAnswerStarted) {
        abortResponse(pending, reason.name)
    } else {
        rejectRequest(pending, RejectReason.SERVER_FAILED, detail = reason.name)
    }
}

internal fun ServingWork.sendToServer(
    pending: PendingRequest,
    server: BackendServer,
    cause: PlacementCause? = null,
) {
    if (rejectIfKeyLost(pending) || isHeldBack(pending)) return
    updateServer(server.id) { it.withAttemptStarted(pending.request.promptParts, nowMillis) }
    putRequest(
        pending.copy(
            stage = PendingRequest.Stage.SENT,
            sentTo = server,
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
            originLease = originLease(pending),
            accountName = pending.account?.name,
            hidesAccountKey = parts.config?.accounts != null || pending.account != null,
            cause = cause,
        ),
    )
}

/**
 * Servers of the service that accept new work. Servers in backoff are used only if no other is left, and so are servers that
 * were already tried, unless an earlier attempt may have run the request: then none is returned.
 */
internal fun ServingWork.candidates(pending: PendingRequest): List<ServerState> {
    val active =
        parts.servers.values.filter {
            it.server.service == pending.service.name && pending.fitsVersionOf(it.server) && parts.withdrawal(it.server) == null
        }
    val healthy = active.filter { it.backoffUntilMillis <= nowMillis }.ifEmpty { active }
    return healthy.filter { it.server.id !in pending.triedServers }.ifEmpty {
        if (pending.possiblyRunAttempts > 0) emptyList() else healthy
    }
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
    meanServiceDurationMillis = meanServiceDurationMillis(pending),
    maxPermitWaitMillis = maxPermitWaitMillis(pending),
    nowMillis = nowMillis,
    settings = settings,
    listed = if (settings.homePreferenceMillis == null) candidates else listedServers(pending),
    triedServers = pending.triedServers,
)

/**
 * How long a request may wait for a permit. Programs that are running wait longer than new ones, so that a server's limit is first
 * used to finish what was begun. Null once the request has asked often enough; then only servers without a limit are left for it.
 */
private fun ServingWork.maxPermitWaitMillis(pending: PendingRequest): Long? {
    if (pending.permitRequests >= settings.maxPermitRequests) return null
    val waitMillis = if (pending.isFirstTurn) settings.firstTurnPermitWaitMillis else settings.permitWaitMillis
    return minOf(waitMillis, pending.remainingMillis(nowMillis) / 2)
}

internal fun ServingWork.meanServiceDurationMillis(pending: PendingRequest) =
    parts.meanServiceDurationMillis[pending.service.name] ?: settings.initialServiceDurationMillis

/** Retry delay after which a full server has probably freed some slots. */
private fun ServingWork.overloadRetryMillis(pending: PendingRequest): Long =
    (meanServiceDurationMillis(pending) * settings.maxWaitingPerSlot / 2).toLong()

/**
 * Retry delay of a request for which all servers are full, or have no permit soon enough. Callers that wait for permits return at
 * different times, since only one of them gets the next permit.
 */
private fun ServingWork.fullRetryMillis(
    pending: PendingRequest,
    candidates: List<ServerState>,
): Long {
    val permitMillis = candidates.minOf { it.permitWaitMillis(nowMillis) }
    if (permitMillis == 0L) return overloadRetryMillis(pending)
    return permitMillis + (uniformHash(pending.request.attemptId) * PERMIT_RETRY_JITTER_MILLIS).toLong()
}

internal fun ServingWork.handleAnswerStarted(event: AnswerStarted) {
    val pending = pendingRequest(event.key) ?: return
    updateAttemptServer(pending) { it.withReportedLoad(event.load, nowMillis).withoutFailures() }
    recordStatedLimit(pending, event.requestsPerSecondLimit)
    recordServerAlive(pending)
}

internal fun ServingWork.handleAttemptEnded(event: AttemptEnded) {
    val pending = pendingRequest(event.key) ?: return
    updateAttemptServer(pending) {
        it.withAttemptEnded().withReportedLoad(event.load, nowMillis).afterAttempt(event.outcome, nowMillis, settings)
    }
    if (event.outcome == AttemptOutcome.NOT_RUN) recordStatedLimit(pending, event.requestsPerSecondLimit)
    recordCrashEvidence(pending, event.outcome, event.isServerAlive)
    recordPace(pending, event)
    if (event.outcome == AttemptOutcome.ANSWERED) return completeRequest(pending)
    val mayHaveRun = event.outcome == AttemptOutcome.BROKEN || event.outcome == AttemptOutcome.NOT_KEPT
    // A withdrawn server is no longer listed, or another run of it is, which may be tried.
    val isWithdrawn = event.outcome == AttemptOutcome.WITHDRAWN
    val failed =
        pending.copy(
            possiblyRunAttempts = pending.possiblyRunAttempts + if (mayHaveRun) 1 else 0,
            notRunAttempts = pending.notRunAttempts + if (mayHaveRun || isWithdrawn) 0 else 1,
            triedServers = if (isWithdrawn) pending.triedServers - setOfNotNull(pending.serverId) else pending.triedServers,
            isAnswerStarted = event.isAnswerStarted,
            requiredOrigin = pending.originAfter(event),
            resumeAfterEventId = event.lastEventId ?: pending.resumeAfterEventId,
        )
    putRequest(failed)
    when (decideRetry(failed.attemptHistory(event.outcome, failed.remainingMillis(nowMillis), settings))) {
        RetryDecision.SEND_AGAIN -> placeRequest(pending.key)
        RetryDecision.REJECT -> turnAwayOverloaded(failed, overloadRetryMillis(failed), event.detail)
        RetryDecision.FAIL -> rejectRequest(failed, RejectReason.SERVER_FAILED, detail = event.detail)
        RetryDecision.BREAK_OFF -> abortResponse(failed, event.detail)
    }
}

private fun ServingWork.recordPace(
    pending: PendingRequest,
    event: AttemptEnded,
) {
    val gapMillis = event.eventGapMillis ?: return
    val firstEventAtMillis = event.firstEventAtMillis ?: return
    val pace = parts.pace[pending.service.name] ?: TurnPace()
    val startMillis = (firstEventAtMillis - (pending.readyAtMillis ?: pending.sentAtMillis)).toDouble()
    val next = pace.observe(gapMillis, startMillis, (nowMillis - firstEventAtMillis).toDouble())
    parts = parts.copy(pace = parts.pace.put(pending.service.name, next))
}

private fun ServingWork.completeRequest(pending: PendingRequest) {
    val service = pending.service.name
    val durationMillis = (nowMillis - pending.sentAtMillis).toDouble()
    val mean = parts.meanServiceDurationMillis[service] ?: durationMillis
    val next = mean + (durationMillis - mean) * settings.durationWeight
    parts = parts.copy(meanServiceDurationMillis = parts.meanServiceDurationMillis.put(service, next))
    recordEndedForReturns(pending)
    settleReservation(pending)
    removeRequest(pending.key)
}

internal fun ServingWork.handleCallerDisconnected(event: CallerDisconnected) {
    removeEarlyRequest(event.key)
    val pending = pendingRequest(event.key) ?: return
    if (pending.stage == PendingRequest.Stage.SENT) {
        updateAttemptServer(pending) { it.withAttemptEnded() }
        emit(CancelAttempt(pending.key))
    }
    settleReservation(pending)
    removeRequest(pending.key)
}

/** Gives a request its final answer at its deadline: not run if it was never sent, else failed, or aborted if the answer has begun. */
internal fun ServingWork.timeOutRequest(pending: PendingRequest) {
    if (pending.stage == PendingRequest.Stage.PREPARING) return rejectUnlessPossiblyRun(pending, RejectReason.DEADLINE_PASSED)
    updateAttemptServer(pending) { it.withAttemptEnded() }
    emit(CancelAttempt(pending.key))
    rejectRequest(pending, RejectReason.TIMED_OUT)
}

internal fun ServingWork.rejectRequest(
    pending: PendingRequest,
    reason: RejectReason,
    retryAfterMillis: Long? = null,
    detail: String = "",
) {
    settleReservation(pending)
    removeRequest(pending.key)
    emit(Reject(pending.key, reason, retryAfterMillis, detail, pending.account?.name))
}

private fun ServingWork.abortResponse(
    pending: PendingRequest,
    detail: String,
) {
    settleReservation(pending)
    removeRequest(pending.key)
    emit(AbortResponse(pending.key, detail))
}

/** Replaces the reservation by the tokens that reached the caller, even while the answer of the turn hosts is still pending. */
private fun ServingWork.settleReservation(pending: PendingRequest) {
    val program = pending.request.programId?.let(pending::ownedId) ?: return
    if (!pending.isReserved && !pending.awaitsBudget) return
    val request = pending.request
    val tokensPerEvent = pending.service.engine?.tokensPerEvent ?: 1
    emit(
        SettleTokens(
            key = pending.key,
            programId = program,
            sessionId = request.sessionId,
            attemptId = request.attemptId,
            tokensPerEvent = tokensPerEvent,
            retentionMillis = useRetentionMillis(pending),
            serverId = pending.serverId,
        ),
    )
}

private fun ServerState.afterAttempt(
    outcome: AttemptOutcome,
    nowMillis: Long,
    settings: ServingSettings,
): ServerState =
    when (outcome) {
        AttemptOutcome.ANSWERED, AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_KEPT -> withoutFailures()
        AttemptOutcome.WITHDRAWN -> this
        AttemptOutcome.UNREACHABLE, AttemptOutcome.WRONG_SERVER, AttemptOutcome.BROKEN -> withFailure(nowMillis, settings)
    }

private const val PERMIT_RETRY_JITTER_MILLIS = 500L

/** Long enough for the next look-up to skip a turn host that was lost. */
internal const val UNCERTAIN_RETRY_MILLIS = 200L

/** Time within which a process reads its configuration or a server registers. */
internal const val NOT_READY_RETRY_MILLIS = 300L
