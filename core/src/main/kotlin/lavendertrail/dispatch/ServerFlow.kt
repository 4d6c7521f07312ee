package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.ServerId
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CacheEventsReceived
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.HostListReceived
import lavendertrail.reducer.SavePoisonMark
import lavendertrail.reducer.ServerLoad
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.ServerReachability

// A crash counts against requests whose connection was lost at most this long before the crash became known.
internal const val CRASH_ATTRIBUTION_MILLIS: Long = 10_000

// A server missing from the host list is treated as lost when nothing is received from it for this time.
private const val MISSING_SERVER_GRACE_MILLIS = 1_000L
private const val VERDICT_POLL_MILLIS = 100L

internal fun DispatchWork.applyLoad(
    server: ServerId,
    load: ServerLoad,
    ownCalls: Int = viewOf(server).running.size,
) {
    val others = (load.runningCalls + load.waitingCalls - ownCalls).coerceAtLeast(0)
    updateView(server) { it.copy(load = load, loadReceivedMillis = nowMillis, otherNodesRunning = others, lastSeenMillis = nowMillis) }
    if (load.leaving) requeueCallsWaitingFor(server)
}

internal fun DispatchWork.handleLoadReported(event: ServerLoadReported) {
    val server = event.server
    updateView(server) { it.copy(reachable = true) }
    applyLoad(server, event.load)
    // The server is alive, so its lost connections were no crash.
    resolveLossesWithoutCrash(server)
    startCallsOn(server)
}

/**
 * Records a lost connection and polls the server. The request counts as running there until it is known whether the server
 * crashed. A crash is assumed if the server doesn't respond within [DispatchSettings.crashVerdictMillis].
 */
internal fun DispatchWork.recordConnectionLoss(
    entry: CallEntry,
    server: ServerId,
) {
    val loss = ConnectionLoss(entry.call.fingerprint, entry.call.call, nowMillis)
    updateView(server) { view ->
        val kept = view.connectionLosses.filter { it.unresolved || nowMillis - it.atMillis <= CRASH_ATTRIBUTION_MILLIS }
        view.copy(connectionLosses = kept + loss)
    }
    core = core.copy(poison = core.poison.withRunStarted(loss.fingerprint, server))
    setTimer(nowMillis + settings.crashVerdictMillis, Timer.CrashVerdict(server))
    pollLoad(server, VERDICT_POLL_MILLIS)
}

/** Marks the unresolved connection losses of a server as resolved and returns their calls. */
private fun DispatchWork.resolveLosses(server: ServerId): List<CallId> {
    val unresolved = viewOf(server).connectionLosses.filter { it.unresolved }
    if (unresolved.isEmpty()) return emptyList()
    updateView(server) { view -> view.copy(connectionLosses = view.connectionLosses.map { it.copy(unresolved = false) }) }
    for (loss in unresolved) {
        core = core.copy(poison = core.poison.withRunEnded(loss.fingerprint, server))
        requeueFingerprintWaiters(loss.fingerprint)
    }
    return unresolved.map { it.call }.distinct()
}

/** Retries the calls whose connection was lost, without counting a crash, since the server is alive. */
private fun DispatchWork.resolveLossesWithoutCrash(server: ServerId): Unit =
    resolveLosses(server).forEach { retryAfterVerdict(it, server, crashed = false) }

internal fun DispatchWork.handleReachability(event: ServerReachability) {
    val server = event.server
    val view = viewOf(server)
    val restarted = event.incarnation != null && view.incarnation != null && event.incarnation != view.incarnation
    if (!event.reachable) {
        if (view.reachable) handleServerLost(server) else updateView(server) { it.copy(unreachableSinceMillis = nowMillis) }
    } else {
        if (restarted && view.reachable) handleServerLost(server)
        updateView(server) {
            it.copy(
                reachable = true,
                lastSeenMillis = nowMillis,
                incarnation = event.incarnation ?: it.incarnation,
                backoffUntilMillis = if (restarted) 0 else it.backoffUntilMillis,
            )
        }
        if (!restarted) resolveLossesWithoutCrash(server)
        startCallsOn(server)
    }
}

/** Handles a lost server process: counts a crash for its requests, invalidates its cache entries and fails its calls over. */
internal fun DispatchWork.handleServerLost(server: ServerId) {
    val view = viewOf(server)
    val running = view.running.keys.mapNotNull { core.calls[it] }
    val lostBefore = view.connectionLosses.filter { nowMillis - it.atMillis <= CRASH_ATTRIBUTION_MILLIS }.map { it.fingerprint }
    recordCrash(server, (running.map { it.call.fingerprint } + lostBefore).distinct())
    val waiting = resolveLosses(server)
    core = core.copy(prefixCache = core.prefixCache.withEmptyCache(server))
    updateView(server) {
        it.copy(
            reachable = false,
            unreachableSinceMillis = nowMillis,
            load = null,
            connectionLosses = emptyList(),
            otherNodesRunning = 0,
        )
    }
    requeueCallsWaitingFor(server)
    running.forEach { failOverCall(it.call.call) }
    waiting.forEach { retryAfterVerdict(it, server, crashed = true) }
    pollLoad(server, 0)
    startCallsOn(server)
}

private fun DispatchWork.recordCrash(
    server: ServerId,
    fingerprints: List<String>,
) {
    for (fingerprint in fingerprints) {
        core = core.copy(poison = core.poison.withCrash(fingerprint, server, nowMillis, settings.poisonExpiryMillis))
        core.poison.markOf(fingerprint)?.let { effects += SavePoisonMark(it) }
    }
}

private fun DispatchWork.failOverCall(id: CallId) {
    val entry = core.calls[id]?.takeIf { it.phase == Phase.RUNNING } ?: return
    val attempt = entry.attempt ?: return
    leavePhase(entry)
    effects += CancelAttempt(id, entry.attempts, attempt.server)
    val ended =
        entry.copy(
            phase = Phase.VERDICT,
            attempt = null,
            mayHaveRun = true,
            awaitedServer = attempt.server,
            phaseSinceMillis = nowMillis,
        )
    putCall(ended)
    retryOrRefuse(ended, AttemptFailure.CONNECTION_LOST, "server ${attempt.server} was lost while the call ran")
}

internal fun DispatchWork.retryAfterVerdict(
    id: CallId,
    server: ServerId,
    crashed: Boolean,
) {
    val entry = core.calls[id]?.takeIf { it.phase == Phase.VERDICT && it.awaitedServer == server } ?: return
    val message = if (crashed) "server $server crashed while the call ran" else "connection to $server was lost"
    retryOrRefuse(entry, AttemptFailure.CONNECTION_LOST, message)
}

/** Treats a server that hasn't responded in time as crashed: a wrong count costs less than one more crashed server. */
internal fun DispatchWork.handleVerdictTimeout(timer: Timer.CrashVerdict) {
    val hasTimedOut = viewOf(timer.server).connectionLosses.any { it.unresolved && nowMillis - it.atMillis >= settings.crashVerdictMillis }
    if (hasTimedOut) handleServerLost(timer.server)
}

internal fun DispatchWork.clearCrashMark(entry: CallEntry) {
    val fingerprint = entry.call.fingerprint
    val mark = core.poison.markOf(fingerprint) ?: return
    // A quarantined request is cleared only by expiry or by an operator.
    if (mark.crashes >= settings.poisonCrashLimit) return
    core = core.copy(poison = core.poison.withCleared(fingerprint, nowMillis))
    effects += SavePoisonMark(mark.copy(crashes = 0, crashedServers = emptySet(), lastCrashMillis = nowMillis))
}

internal fun DispatchWork.handleHostList(event: HostListReceived) {
    // A list with none of the configured servers indicates a fault of its source, not the loss of all servers.
    if (config.servers.isNotEmpty() && (event.live + event.leaving).none { it in config.servers }) return
    core = core.copy(hosts = HostList(event.live, event.leaving))
    for ((server, view) in core.servers) {
        if (takesWork(server)) continue
        requeueCallsWaitingFor(server)
        val isListed = core.hosts?.contains(server) == true
        if (!isListed && view.running.isNotEmpty()) {
            pollLoad(server, MISSING_SERVER_GRACE_MILLIS)
            setTimer(nowMillis + MISSING_SERVER_GRACE_MILLIS, Timer.MissingServer(server, nowMillis))
        }
    }
    startAllQueuedCalls()
}

internal fun DispatchWork.handleMissingTimeout(timer: Timer.MissingServer) {
    val view = viewOf(timer.server)
    if (core.hosts?.contains(timer.server) == true || view.lastSeenMillis > timer.sinceMillis || !view.reachable) return
    handleServerLost(timer.server)
}

/** Queues the calls again that wait for this server. Running calls continue. */
private fun DispatchWork.requeueCallsWaitingFor(server: ServerId) {
    val view = core.servers[server] ?: return
    val reserved = view.isolatedBy?.takeIf { core.calls[it]?.phase == Phase.ISOLATING }
    (view.heldCalls + listOfNotNull(reserved)).forEach { requeueWaitingCall(it) }
}

internal fun DispatchWork.handleCacheEvents(event: CacheEventsReceived) {
    core = core.copy(prefixCache = core.prefixCache.withEvents(event.server, event.events, event.gap, nowMillis))
}
