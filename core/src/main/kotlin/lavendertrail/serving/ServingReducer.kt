package lavendertrail.serving

/**
 * Applies [event] to [state]. All serving decisions are made here: routing, placement, retries, rejections and deadlines.
 * Parts of a streamed answer pass by the reducer, which learns only of the start and the end.
 */
public fun reduceServing(
    state: ServingState,
    nowMillis: Long,
    event: ServingEvent,
): ServingStep {
    val work = ServingWork(state.parts, nowMillis)
    work.noteStart()
    when (event) {
        is ConfigAccepted -> work.acceptConfig(event.config)
        is ServersListed -> {
            work.replaceServers(event.servers)
            work.releaseEarlyRequests()
        }
        is ServerChanged -> {
            work.changeServer(event.server)
            work.releaseEarlyRequests()
        }
        is ServerRemoved -> work.removeServer(event.id)
        is StoreReachabilityChanged -> work.changeStore(event.isReachable)
        is RequestArrived -> work.arrive(event.key, event.request)
        is HistoryLoaded -> work.historyLoaded(event)
        is TokensReserved -> work.tokensReserved(event)
        is AnswerStarted -> work.answerStarted(event)
        is AttemptEnded -> work.attemptEnded(event)
        is CallerDisconnected -> work.callerLeft(event)
        ClockTicked -> work.tick()
    }
    return ServingStep(ServingState(work.parts), work.effects)
}

private fun ServingWork.acceptConfig(config: ServingConfig) {
    val current = parts.config
    if (current == null || config.version > current.version) parts = parts.copy(config = config)
}

private fun ServingWork.tick() {
    dropLapsedServers()
    releaseEarlyRequests()
    parts.requests.values
        .filter { nowMillis >= it.limitAtMillis }
        .forEach { timeOut(it) }
}
