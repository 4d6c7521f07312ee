package lavendertrail.dispatch

import lavendertrail.config.ModelRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.RefusalReason
import lavendertrail.model.ServerId
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.TransferCache

// Maximum number of isolated calls that are considered after one event. The others follow when these have run.
private const val MAX_ISOLATION_SCAN = 32

// Calls of other nodes can't be kept off the reserved server. After this time only this node's own calls are waited for.
private const val MAX_ISOLATION_WAIT_MILLIS = 5_000L
private const val ISOLATION_POLL_MILLIS = 500L

// The engine keeps a prompt pinned this long after the answer, until the program's next call or tool pause is expected.
private const val TURN_PIN_MILLIS = 2_000L
private const val MAX_PLACEMENTS_PER_PROGRAM = 4
private const val MAX_RECORDED_ESTIMATES = 4

internal fun DispatchWork.candidatesOf(target: Target): List<Candidate> {
    val records = core.routes.serversOf(target)
    val limit = if (target is Target.Model) settings.subsetServers else Int.MAX_VALUE
    val found = ArrayList<Candidate>(minOf(limit, records.size))
    for (record in records) {
        if (found.size >= limit) break
        if (takesWork(record.server) &&
            canServe(target, record.server)
        ) {
            found += Candidate(record, viewOf(record.server), limitOf(record), hasRoom(record))
        }
    }
    return found
}

private fun DispatchWork.canServe(
    target: Target,
    server: ServerId,
): Boolean = target !is Target.Model || settings.enginesLoadOnDemand || isLoaded(viewOf(server), target.model)

/** Starts queued calls of [target] while there is room. Each iteration starts, holds, isolates, defers or refuses one call. */
internal fun DispatchWork.startQueuedCalls(target: Target) {
    startIsolatedCalls(target)
    while (true) {
        val id = core.queue.nextCall(target) { core.fairShare.ownerService(it) } ?: return
        val entry = core.calls.getValue(id)
        if (!processQueueHead(entry)) return
    }
}

internal fun DispatchWork.startAllQueuedCalls(): Unit = core.routes.targets().forEach { startQueuedCalls(it) }

/** Starts calls after a slot at [server] may have become free: first those held for it, then the queued ones of its targets. */
internal fun DispatchWork.startCallsOn(server: ServerId) {
    startHeldCalls(server)
    core.routes.targetsOf(server).forEach { startQueuedCalls(it) }
}

/** Returns false if the call stays at the head of the queue because no server has room; the calls behind it then wait too. */
private fun DispatchWork.processQueueHead(entry: CallEntry): Boolean {
    val id = entry.call.call
    val crashes = crashesOf(entry)
    when {
        entry.call.deadlineMillis <= nowMillis -> refuse(entry, RefusalReason.DEADLINE, "deadline passed while the call was queued")
        crashes > 0 -> {
            leavePhase(entry)
            enqueue(id)
            startIsolatedCalls(entry.target)
        }
        else -> return placeCall(entry)
    }
    return true
}

private fun DispatchWork.placeCall(entry: CallEntry): Boolean {
    val candidates = candidatesOf(entry.target)
    if (candidates.none { it.hasRoom }) return false
    val allowed = candidates.filter { mayRunOn(entry, it.record.server) }
    if (allowed.none { it.hasRoom }) {
        waitForFingerprint(entry)
        return true
    }
    val query = placementQueryOf(entry, allowed)
    val estimates = estimatesOf(query)
    when (val decision = policies.place(query, estimates)) {
        is PlacementDecision.Start -> startAttempt(entry, decision.estimate, estimates)
        is PlacementDecision.Hold -> holdCall(entry, decision)
        PlacementDecision.Wait -> return false
    }
    return true
}

/** Limits the servers on which a request runs at once, so that a crash of all of them stays within the crash limit. */
private fun DispatchWork.mayRunOn(
    entry: CallEntry,
    server: ServerId,
): Boolean {
    val fingerprint = entry.call.fingerprint
    return crashesOf(entry) + core.poison.otherServersRunning(fingerprint, server) + 1 <= settings.poisonCrashLimit
}

private fun DispatchWork.waitForFingerprint(entry: CallEntry) {
    leavePhase(entry)
    putCall(entry.copy(phase = Phase.FINGERPRINT_WAIT, rank = null))
    core = core.copy(poison = core.poison.withWaiting(entry.call.fingerprint, entry.call.call))
}

private fun DispatchWork.placementQueryOf(
    entry: CallEntry,
    candidates: List<Candidate>,
): PlacementQuery {
    val call = entry.call
    val hint = core.hints[call.call]
    val oracleCachedTokens = if (policies.usesOracleHints) hint?.cachedTokens else null
    return PlacementQuery(
        entry = entry,
        candidates = candidates,
        cachedTokens =
            oracleCachedTokens
                ?: if (entry.isModelCall) core.prefixCache.expectedTokens(call, nowMillis, settings.cacheHalfLifeMillis) else emptyMap(),
        knownTokens = core.prefixCache::knownTokens,
        model = (call.body as? CallBody.ModelCall)?.let { config.models[it.model] ?: ModelRecord(it.model) },
        selfDomain = node.self.failureDomain,
        hint = if (policies.usesOracleHints) hint else null,
        stickyServer = core.lastServers[call.call.program],
        sequence = core.sequence,
        nowMillis = nowMillis,
        settings = settings,
        random = ::nextRandom,
    )
}

private fun DispatchWork.holdCall(
    entry: CallEntry,
    decision: PlacementDecision.Hold,
) {
    val id = entry.call.call
    leavePhase(entry)
    putCall(entry.copy(phase = Phase.HELD, rank = null, awaitedServer = decision.server, holdAllowed = false))
    updateView(decision.server) { it.copy(heldCalls = it.heldCalls + id) }
    setTimer(id, decision.untilMillis, Timer.HoldTimeout(id))
}

private fun DispatchWork.startHeldCalls(server: ServerId) {
    while (true) {
        val id = viewOf(server).heldCalls.firstOrNull() ?: return
        val record = config.servers[server]
        val entry = core.calls.getValue(id)
        if (record == null || !takesWork(server) || crashesOf(entry) > 0 || !mayRunOn(entry, server)) {
            requeueWaitingCall(id)
        } else if (!hasRoom(record) || entry.call.account in core.accountUse.blockedAccounts) {
            return
        } else {
            val estimate = estimatesOf(placementQueryOf(entry, listOf(Candidate(record, viewOf(server), limitOf(record), hasRoom = true))))
            startAttempt(entry, estimate.first(), estimate)
        }
    }
}

/** Removes a call from the phase in which it waits and queues it again. */
internal fun DispatchWork.requeueWaitingCall(id: CallId) {
    val entry = core.calls[id] ?: return
    if (entry.phase == Phase.RUNNING) return
    leavePhase(entry)
    enqueue(id)
}

/** Reserves a server for each suspected poison request and starts it once no other call runs there. */
private fun DispatchWork.startIsolatedCalls(target: Target) {
    if (core.isolatingCalls.isEmpty()) return
    for (id in core.isolatingCalls.take(MAX_ISOLATION_SCAN)) {
        val entry = core.calls[id]?.takeIf { it.target == target && it.phase == Phase.ISOLATING } ?: continue
        val crashes = crashesOf(entry)
        when {
            crashes == 0 -> requeueWaitingCall(id)
            crashes >= settings.poisonCrashLimit -> refusePoison(entry, crashes)
            else -> startIfAlone(entry)
        }
    }
}

private fun DispatchWork.startIfAlone(entry: CallEntry) {
    val id = entry.call.call
    val reserved = entry.awaitedServer?.takeIf { takesWork(it) && viewOf(it).isolatedBy == id }
    val server = reserved ?: reserveServer(entry) ?: return
    val view = viewOf(server)
    if (view.running.isNotEmpty() || view.hasUnresolvedLoss) return
    if (entry.call.account in core.accountUse.blockedAccounts || !mayRunOn(entry, server)) return
    val others = view.estimatedRunning(nowMillis, settings.staleLoadMillis)
    if (others > 0 && nowMillis - entry.phaseSinceMillis < MAX_ISOLATION_WAIT_MILLIS) {
        pollLoad(server, ISOLATION_POLL_MILLIS)
        return
    }
    val record = config.servers[server] ?: return
    val current = core.calls.getValue(id)
    val estimates = estimatesOf(placementQueryOf(current, listOf(Candidate(record, view, limitOf(record), hasRoom = true))))
    startAttempt(current, estimates.first(), estimates, isolated = true)
}

/**
 * Reserves a server for an isolated call. At most a quarter of the candidates are reserved, but at least one, so that the
 * suspected requests of one crash don't occupy all remaining servers.
 */
private fun DispatchWork.reserveServer(entry: CallEntry): ServerId? {
    val candidates = candidatesOf(entry.target)
    val reserved = candidates.count { it.view.isolatedBy != null }
    if (reserved >= maxOf(1, candidates.size / 4)) return null
    val chosen =
        candidates
            .filter { it.view.isolatedBy == null && it.view.backoffUntilMillis <= nowMillis && it.record.server !in entry.triedServers }
            .ifEmpty { candidates.filter { it.view.isolatedBy == null } }
            .minByOrNull { it.view.estimatedRunning(nowMillis, settings.staleLoadMillis) } ?: return null
    val server = chosen.record.server
    updateView(server) { it.copy(isolatedBy = entry.call.call) }
    putCall(entry.copy(awaitedServer = server))
    return server
}

internal fun DispatchWork.startAttempt(
    entry: CallEntry,
    estimate: CandidateEstimate,
    estimates: List<CandidateEstimate>,
    isolated: Boolean = false,
    resume: Boolean = false,
) {
    val id = entry.call.call
    val call = entry.call
    val server = estimate.server
    val rank = entry.rank ?: rankOf(entry)
    val isReserved = viewOf(server).isolatedBy == id
    leavePhase(entry)
    if (isReserved || isolated) updateView(server) { it.copy(isolatedBy = id) }
    val uncached = if (resume || !entry.isModelCall) 0 else (call.promptTokens - estimate.cachedTokens).coerceAtLeast(0)
    val charge = if (resume) 0.0 else expectedServiceMillis(entry, uncached)
    val attempt =
        RunningAttempt(
            server,
            nowMillis,
            uncached,
            viewOf(server).pendingPrefillTokens,
            charge,
            viewOf(server).running.size,
            resume,
            isolated,
        )
    val next = entry.copy(phase = Phase.RUNNING, rank = null, attempts = entry.attempts + 1, attempt = attempt, awaitedServer = null)
    putCall(next.copy(triedServers = entry.triedServers + server))
    updateView(server) {
        it.copy(
            running = it.running.put(id, next.attempts),
            pins = it.pins.withoutPin(call.call.program),
            pendingPrefillTokens = it.pendingPrefillTokens + uncached,
        )
    }
    core =
        core.copy(
            queue = core.queue.withServedLane(entry.target, rank.lane),
            accountUse = core.accountUse.withStartedCall(call.account),
            poison = core.poison.withRunStarted(call.fingerprint, server),
            fairShare = core.fairShare.withRaisedFloors(call.owner, call.account),
        )
    chargeService(call, charge)
    recordPlacement(next, rank, estimate, estimates)
    emitStartEffects(next, rank, estimate)
}

private fun DispatchWork.emitStartEffects(
    entry: CallEntry,
    rank: RankKey,
    estimate: CandidateEstimate,
) {
    val call = entry.call
    val attempt = entry.attempt ?: return
    val from = estimate.transferFrom
    if (from != null && !attempt.resume && policies.usesCache) {
        effects += TransferCache(call.call.program, from, attempt.server, estimate.cachedTokens)
    }
    effects +=
        StartAttempt(
            call = call.call,
            attempt = entry.attempts,
            server = attempt.server,
            body = call.body,
            key = call.key,
            priority = rank.shedClass,
            deadlineMillis = call.deadlineMillis,
            resume = attempt.resume,
            pinMillis = if (entry.isModelCall && policies.usesCache) TURN_PIN_MILLIS else 0,
            promptChain = call.promptChain,
        )
}

private fun DispatchWork.recordPlacement(
    entry: CallEntry,
    rank: RankKey,
    estimate: CandidateEstimate,
    estimates: List<CandidateEstimate>,
) {
    val attempt = entry.attempt ?: return
    val others = estimates.filter { it !== estimate }.sortedBy { it.totalMillis }.take(MAX_RECORDED_ESTIMATES - 1)
    val note =
        PlacementNote(
            call = entry.call.call,
            attempt = entry.attempts,
            server = attempt.server,
            atMillis = nowMillis,
            waitedMillis = nowMillis - entry.enqueuedMillis,
            lane = laneName(rank.lane),
            level = rank.level,
            isolated = attempt.isolated,
            resumed = attempt.resume,
            estimates = listOf(estimate) + others,
        )
    val program = entry.call.call.program
    val notes = (core.placements[program].orEmpty() + note).takeLast(MAX_PLACEMENTS_PER_PROGRAM)
    core = core.copy(placements = core.placements.put(program, notes))
}
