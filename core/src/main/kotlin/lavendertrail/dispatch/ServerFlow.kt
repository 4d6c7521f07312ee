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

// A crash is blamed on attempts whose connection was lost at most this long before it became known.
internal const val BLAME_WINDOW_MILLIS: Long = 10_000

// A server that the host list no longer names is given up after this time without any sign of life.
private const val MISSING_MILLIS = 1_000L
private const val VERDICT_POLL_MILLIS = 100L

internal fun DispatchWork.applyLoad(
    server: ServerId,
    load: ServerLoad,
    ownCalls: Int = view(server).running.size,
) {
    val others = (load.runningCalls + load.waitingCalls - ownCalls).coerceAtLeast(0)
    changeView(server) { it.copy(load = load, loadAtMillis = nowMillis, othersRunning = others, heardMillis = nowMillis) }
    if (load.leaving) evacuate(server)
}

internal fun DispatchWork.loadReported(event: ServerLoadReported) {
    val server = event.server
    changeView(server) { it.copy(reachable = true) }
    applyLoad(server, event.load)
    // The server is alive: the calls whose connection was lost there go on without blame.
    explained(server)
    pumpServer(server)
}

/** Notes a lost connection: until its verdict the request counts as running there, and the server is asked. */
internal fun DispatchWork.noteLoss(
    entry: CallEntry,
    server: ServerId,
) {
    val loss = Loss(entry.call.fingerprint, entry.call.call, nowMillis)
    changeView(
        server,
    ) { view -> view.copy(losses = view.losses.filter { it.open || nowMillis - it.atMillis <= BLAME_WINDOW_MILLIS } + loss) }
    core = core.copy(poison = core.poison.started(loss.fingerprint, server))
    setTimer(nowMillis + settings.crashVerdictMillis, Timer.Verdict(server))
    poll(server, VERDICT_POLL_MILLIS)
}

/** Ends the open losses of a server and returns the calls that wait for the verdict. */
private fun DispatchWork.closeLosses(server: ServerId): List<CallId> {
    val open = view(server).losses.filter { it.open }
    if (open.isEmpty()) return emptyList()
    changeView(server) { view -> view.copy(losses = view.losses.map { it.copy(open = false) }) }
    for (loss in open) {
        core = core.copy(poison = core.poison.ended(loss.fingerprint, server))
        wakeFingerprint(loss.fingerprint)
    }
    return open.map { it.call }.distinct()
}

/** The server is alive, so that its lost connections were no crash. */
private fun DispatchWork.explained(server: ServerId): Unit = closeLosses(server).forEach { verdict(it, server, crashed = false) }

internal fun DispatchWork.reachability(event: ServerReachability) {
    val server = event.server
    val view = view(server)
    val restarted = event.incarnation != null && view.incarnation != null && event.incarnation != view.incarnation
    if (!event.reachable) {
        if (view.reachable) lost(server) else changeView(server) { it.copy(unreachableSinceMillis = nowMillis) }
    } else {
        if (restarted && view.reachable) lost(server)
        changeView(server) {
            it.copy(
                reachable = true,
                heardMillis = nowMillis,
                incarnation = event.incarnation ?: it.incarnation,
                backoffUntilMillis = if (restarted) 0 else it.backoffUntilMillis,
            )
        }
        if (!restarted) explained(server)
        pumpServer(server)
    }
}

/** The server's process is gone: blames what ran there, forgets its cache, and moves its calls elsewhere. */
internal fun DispatchWork.lost(server: ServerId) {
    val view = view(server)
    val running = view.running.keys.mapNotNull { core.calls[it] }
    val lostBefore = view.losses.filter { nowMillis - it.atMillis <= BLAME_WINDOW_MILLIS }.map { it.fingerprint }
    blame(server, (running.map { it.call.fingerprint } + lostBefore).distinct())
    val waiting = closeLosses(server)
    core = core.copy(cache = core.cache.emptied(server))
    changeView(server) {
        it.copy(
            reachable = false,
            unreachableSinceMillis = nowMillis,
            load = null,
            losses = emptyList(),
            othersRunning = 0,
        )
    }
    evacuate(server)
    running.forEach { failOver(it.call.call) }
    waiting.forEach { verdict(it, server, crashed = true) }
    poll(server, 0)
    pumpServer(server)
}

private fun DispatchWork.blame(
    server: ServerId,
    fingerprints: List<String>,
) {
    for (fingerprint in fingerprints) {
        core = core.copy(poison = core.poison.crashed(fingerprint, server, nowMillis, settings.poisonExpiryMillis))
        core.poison.mark(fingerprint)?.let { effects += SavePoisonMark(it) }
    }
}

private fun DispatchWork.failOver(id: CallId) {
    val entry = core.calls[id]?.takeIf { it.phase == Phase.RUNNING } ?: return
    val attempt = entry.attempt ?: return
    withdraw(entry)
    effects += CancelAttempt(id, entry.attempts, attempt.server)
    val ended = entry.copy(phase = Phase.VERDICT, attempt = null, mayHaveRun = true, waitsFor = attempt.server, sinceMillis = nowMillis)
    put(ended)
    retryOrRefuse(ended, AttemptFailure.CONNECTION_LOST, "server ${attempt.server} was lost while the call ran")
}

internal fun DispatchWork.verdict(
    id: CallId,
    server: ServerId,
    crashed: Boolean,
) {
    val entry = core.calls[id]?.takeIf { it.phase == Phase.VERDICT && it.waitsFor == server } ?: return
    val message = if (crashed) "server $server crashed while the call ran" else "connection to $server was lost"
    retryOrRefuse(entry, AttemptFailure.CONNECTION_LOST, message)
}

/** No word from the server in time counts as a crash: a wrong suspicion costs less than one more crashed server. */
internal fun DispatchWork.verdictOverdue(timer: Timer.Verdict) {
    val isOpen = view(timer.server).losses.any { it.open && nowMillis - it.atMillis >= settings.crashVerdictMillis }
    if (isOpen) lost(timer.server)
}

internal fun DispatchWork.clearSuspicion(entry: CallEntry) {
    val fingerprint = entry.call.fingerprint
    val mark = core.poison.mark(fingerprint) ?: return
    // A quarantine is lifted by its expiry or by an operator only.
    if (mark.crashes >= settings.poisonCrashLimit) return
    core = core.copy(poison = core.poison.cleared(fingerprint, nowMillis))
    effects += SavePoisonMark(mark.copy(crashes = 0, crashedServers = emptySet(), lastCrashMillis = nowMillis))
}

internal fun DispatchWork.hostsReceived(event: HostListReceived) {
    // A list that names none of the configured servers is a fault of its source, not the end of all servers.
    if (config.servers.isNotEmpty() && (event.live + event.leaving).none { it in config.servers }) return
    core = core.copy(hosts = HostList(event.live, event.leaving))
    for ((server, view) in core.servers) {
        if (takesWork(server)) continue
        evacuate(server)
        val named = core.hosts?.names(server) == true
        if (!named && view.running.isNotEmpty()) {
            poll(server, MISSING_MILLIS)
            setTimer(nowMillis + MISSING_MILLIS, Timer.Missing(server, nowMillis))
        }
    }
    pumpAll()
}

internal fun DispatchWork.stillMissing(timer: Timer.Missing) {
    val view = view(timer.server)
    if (core.hosts?.names(timer.server) == true || view.heardMillis > timer.sinceMillis || !view.reachable) return
    lost(timer.server)
}

/** Takes calls that wait for this server back into the queue; running ones stay. */
private fun DispatchWork.evacuate(server: ServerId) {
    val view = core.servers[server] ?: return
    val reserved = view.isolatedBy?.takeIf { core.calls[it]?.phase == Phase.ISOLATING }
    (view.heldCalls + listOfNotNull(reserved)).forEach { release(it) }
}

internal fun DispatchWork.cacheEvents(event: CacheEventsReceived) {
    core = core.copy(cache = core.cache.withEvents(event.server, event.events, event.gap, nowMillis))
}
