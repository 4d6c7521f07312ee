package lavendertrail.serving

/**
 * Applies [event] to [state]. All serving decisions are made here: routing, placement, retries, rejections and deadlines.
 * Parts of a streamed answer bypass the reducer, which is notified only of the start and the end.
 */
public fun reduceServing(
    state: ServingState,
    nowMillis: Long,
    event: ServingEvent,
): ServingStep {
    val work = ServingWork(state.parts, nowMillis)
    work.recordStartTime()
    if (event.isFromStore) work.recordStoreContact()
    when (event) {
        is ConfigAccepted -> work.acceptConfig(event.config)
        is ServersListed -> {
            work.replaceServers(event.servers)
            work.releaseEarlyRequests()
        }
        is ServerChanged -> {
            work.renewServer(event.server)
            work.releaseEarlyRequests()
        }
        is ServerRemoved -> work.removeServer(event.id, event.mayHaveExpired)
        StoreHeard -> work.recordStoreHeard()
        is AccountsConfirmed -> work.recordAccountsConfirmed(event.askedAtMillis)
        is StoreReachabilityChanged -> work.updateStoreReachability(event.isReachable)
        is RequestArrived -> work.handleRequestArrived(event.key, event.request)
        is HistoryLoaded -> work.handleHistoryLoaded(event)
        is TokensReserved -> work.handleTokensReserved(event)
        is StreamOriginLoaded -> work.handleStreamOriginLoaded(event)
        is StreamPartLoaded -> work.handleStreamPartLoaded(event)
        is AnswerStarted -> work.handleAnswerStarted(event)
        is ServerLeavingSeen -> work.markLeaving(event)
        is AttemptEnded -> work.handleAttemptEnded(event)
        is QuotaDecided -> work.handleQuotaDecided(event)
        is PermitDecided -> work.handlePermitDecided(event)
        is RequestLimitsLearnt -> work.recordLearntLimits(event.limits)
        is CrashEvidenceLearnt -> work.recordLearntCrashEvidence(event.evidence)
        is CrashReportsKnown -> work.recordCrashReportsKnown(event.areKnown)
        is CrashReportsMissed -> work.repeatCrashReports(event.address)
        ProcessPaused -> {
            work.distrustKeys()
            work.dropPermits()
        }
        is CallerDisconnected -> work.handleCallerDisconnected(event)
        is StopAnnounced -> work.announceStop(event)
        ClockTicked -> work.handleTick()
    }
    return ServingStep(ServingState(work.parts), work.effects)
}

private val ServingEvent.isFromStore: Boolean
    get() = this is ConfigAccepted || this is ServersListed || this is ServerChanged || this is ServerRemoved || this is StoreHeard

private fun ServingWork.acceptConfig(config: ServingConfig) {
    val current = parts.config
    if (current != null && config.version <= current.version) return
    parts = parts.copy(config = config)
    forgetQuotasOfOtherAccounts(config)
}

private fun ServingWork.handleTick() {
    dropExpiredServers()
    forgetLeavingServers()
    reportLosses()
    releaseEarlyRequests()
    parts.requests.values
        .filter { nowMillis >= it.deadlineAtMillis }
        .forEach { timeOutRequest(it) }
    endRequestsAtStop()
    beginWaitingRequests()
    usePermits()
}
