package lavendertrail.dispatch

import lavendertrail.config.ModelRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.RefusalReason
import lavendertrail.model.ServerId
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.TransferCache

// Suspects of one target that are looked at after one event; the rest follow when these have run.
private const val MAX_ISOLATION_SCAN = 32

// Other nodes' calls can't be held off a suspect's server; after this time it runs as soon as this node's have ended.
private const val ISOLATION_PATIENCE_MILLIS = 5_000L
private const val ISOLATION_POLL_MILLIS = 500L

// The pin after an answer bridges the time until the caller comes back or reports a tool pause.
private const val TURN_PIN_MILLIS = 2_000L
private const val MAX_NOTES_PER_PROGRAM = 4
private const val MAX_NOTED_ESTIMATES = 4

internal fun DispatchWork.candidatesOf(target: Target): List<Candidate> {
    val records = core.routes.serversOf(target)
    val limit = if (target is Target.Model) settings.subsetServers else Int.MAX_VALUE
    val found = ArrayList<Candidate>(minOf(limit, records.size))
    for (record in records) {
        if (found.size >= limit) break
        if (takesWork(record.server) &&
            canServe(target, record.server)
        ) {
            found += Candidate(record, view(record.server), limitOf(record), hasRoom(record))
        }
    }
    return found
}

private fun DispatchWork.canServe(
    target: Target,
    server: ServerId,
): Boolean = target !is Target.Model || settings.enginesLoadOnDemand || isLoaded(view(server), target.model)

/** Starts queued calls of [target] for as long as there is room. Each round starts, holds, parks or refuses one call. */
internal fun DispatchWork.pump(target: Target) {
    startIsolated(target)
    while (true) {
        val id = core.queue.head(target) { core.share.ofOwner(it) } ?: return
        val entry = core.calls.getValue(id)
        if (!step(entry)) return
    }
}

internal fun DispatchWork.pumpAll(): Unit = core.routes.targets().forEach { pump(it) }

/** A slot at [server] may be free: for calls that wait for it first, then for all its targets. */
internal fun DispatchWork.pumpServer(server: ServerId) {
    startHeld(server)
    core.routes.targetsOf(server).forEach { pump(it) }
}

private fun DispatchWork.step(entry: CallEntry): Boolean {
    val id = entry.call.call
    val crashes = crashesOf(entry)
    when {
        entry.call.deadlineMillis <= nowMillis -> refuse(entry, RefusalReason.DEADLINE, "deadline passed while the call was queued")
        crashes > 0 -> {
            withdraw(entry)
            enqueue(id)
            startIsolated(entry.target)
        }
        else -> return place(entry)
    }
    return true
}

private fun DispatchWork.place(entry: CallEntry): Boolean {
    val candidates = candidatesOf(entry.target)
    if (candidates.none { it.hasRoom }) return false
    val allowed = candidates.filter { mayRunOn(entry, it.record.server) }
    if (allowed.none { it.hasRoom }) {
        parkForFingerprint(entry)
        return true
    }
    val query = queryOf(entry, allowed)
    val estimates = estimatesOf(query)
    when (val decision = policies.place(query, estimates)) {
        is PlacementDecision.Start -> start(entry, decision.estimate, estimates)
        is PlacementDecision.Hold -> hold(entry, decision)
        PlacementDecision.Wait -> return false
    }
    return true
}

/** A request may run on so many servers at once that all of them crashing stays within the limit. */
private fun DispatchWork.mayRunOn(
    entry: CallEntry,
    server: ServerId,
): Boolean {
    val fingerprint = entry.call.fingerprint
    return crashesOf(entry) + core.poison.serversOtherThan(fingerprint, server) + 1 <= settings.poisonCrashLimit
}

private fun DispatchWork.parkForFingerprint(entry: CallEntry) {
    withdraw(entry)
    put(entry.copy(phase = Phase.FINGERPRINT_WAIT, rank = null))
    core = core.copy(poison = core.poison.withWaiting(entry.call.fingerprint, entry.call.call))
}

private fun DispatchWork.queryOf(
    entry: CallEntry,
    candidates: List<Candidate>,
): PlacementQuery {
    val call = entry.call
    val hint = core.hints[call.call]
    val truth = if (policies.knowsTruth) hint?.cachedTokens else null
    return PlacementQuery(
        entry = entry,
        candidates = candidates,
        cachedTokens =
            truth ?: if (entry.isModelCall) core.cache.expectedTokens(call, nowMillis, settings.cacheHalfLifeMillis) else emptyMap(),
        knownTokens = core.cache::knownTokens,
        model = (call.body as? CallBody.ModelCall)?.let { config.models[it.model] ?: ModelRecord(it.model) },
        selfDomain = node.self.failureDomain,
        hint = if (policies.knowsTruth) hint else null,
        stickyServer = core.lastServers[call.call.program],
        turn = core.sequence,
        nowMillis = nowMillis,
        settings = settings,
        random = ::nextRandom,
    )
}

private fun DispatchWork.hold(
    entry: CallEntry,
    decision: PlacementDecision.Hold,
) {
    val id = entry.call.call
    withdraw(entry)
    put(entry.copy(phase = Phase.HELD, rank = null, waitsFor = decision.server, mayHold = false))
    changeView(decision.server) { it.copy(heldCalls = it.heldCalls + id) }
    setTimer(id, decision.untilMillis, Timer.HoldEnd(id))
}

private fun DispatchWork.startHeld(server: ServerId) {
    while (true) {
        val id = view(server).heldCalls.firstOrNull() ?: return
        val record = config.servers[server]
        val entry = core.calls.getValue(id)
        if (record == null || !takesWork(server) || crashesOf(entry) > 0 || !mayRunOn(entry, server)) {
            release(id)
        } else if (!hasRoom(record) || entry.call.account in core.accounts.blocked) {
            return
        } else {
            val estimate = estimatesOf(queryOf(entry, listOf(Candidate(record, view(server), limitOf(record), hasRoom = true))))
            start(entry, estimate.first(), estimate)
        }
    }
}

/** Puts a call back into the queue from wherever it waits. */
internal fun DispatchWork.release(id: CallId) {
    val entry = core.calls[id] ?: return
    if (entry.phase == Phase.RUNNING) return
    withdraw(entry)
    enqueue(id)
}

/** Runs suspects alone: reserves a server for each, and starts it once nothing else runs there. */
private fun DispatchWork.startIsolated(target: Target) {
    if (core.isolating.isEmpty()) return
    for (id in core.isolating.take(MAX_ISOLATION_SCAN)) {
        val entry = core.calls[id]?.takeIf { it.target == target && it.phase == Phase.ISOLATING } ?: continue
        val crashes = crashesOf(entry)
        when {
            crashes == 0 -> release(id)
            crashes >= settings.poisonCrashLimit -> refusePoison(entry, crashes)
            else -> isolate(entry)
        }
    }
}

private fun DispatchWork.isolate(entry: CallEntry) {
    val id = entry.call.call
    val reserved = entry.waitsFor?.takeIf { takesWork(it) && view(it).isolatedBy == id }
    val server = reserved ?: reserve(entry) ?: return
    val view = view(server)
    if (view.running.isNotEmpty() || view.isDoubtful || entry.call.account in core.accounts.blocked || !mayRunOn(entry, server)) return
    val others = view.estimatedRunning(nowMillis, settings.staleLoadMillis)
    if (others > 0 && nowMillis - entry.sinceMillis < ISOLATION_PATIENCE_MILLIS) {
        poll(server, ISOLATION_POLL_MILLIS)
        return
    }
    val record = config.servers[server] ?: return
    val current = core.calls.getValue(id)
    val estimates = estimatesOf(queryOf(current, listOf(Candidate(record, view, limitOf(record), hasRoom = true))))
    start(current, estimates.first(), estimates, isolated = true)
}

/** At most a quarter of the candidates serve suspects, so that one crash doesn't take the others from all calls. */
private fun DispatchWork.reserve(entry: CallEntry): ServerId? {
    val candidates = candidatesOf(entry.target)
    val reserved = candidates.count { it.view.isolatedBy != null }
    if (reserved >= maxOf(1, candidates.size / 4)) return null
    val chosen =
        candidates
            .filter { it.view.isolatedBy == null && it.view.backoffUntilMillis <= nowMillis && it.record.server !in entry.triedServers }
            .ifEmpty { candidates.filter { it.view.isolatedBy == null } }
            .minByOrNull { it.view.estimatedRunning(nowMillis, settings.staleLoadMillis) } ?: return null
    val server = chosen.record.server
    changeView(server) { it.copy(isolatedBy = entry.call.call) }
    put(entry.copy(waitsFor = server))
    return server
}

internal fun DispatchWork.start(
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
    val keepReserved = view(server).isolatedBy == id
    withdraw(entry)
    if (keepReserved || isolated) changeView(server) { it.copy(isolatedBy = id) }
    val uncached = if (resume || !entry.isModelCall) 0 else (call.promptTokens - estimate.cachedTokens).coerceAtLeast(0)
    val charge = if (resume) 0.0 else expectedServiceMillis(entry, uncached)
    val attempt =
        RunningAttempt(server, nowMillis, uncached, view(server).pendingPrefillTokens, charge, view(server).running.size, resume, isolated)
    val next = entry.copy(phase = Phase.RUNNING, rank = null, attempts = entry.attempts + 1, attempt = attempt, waitsFor = null)
    put(next.copy(triedServers = entry.triedServers + server))
    changeView(server) {
        it.copy(
            running = it.running.put(id, next.attempts),
            pins = it.pins.removed(call.call.program),
            pendingPrefillTokens = it.pendingPrefillTokens + uncached,
        )
    }
    core =
        core.copy(
            queue = core.queue.served(entry.target, rank.lane),
            accounts = core.accounts.started(call.account),
            poison = core.poison.started(call.fingerprint, server),
            share = core.share.served(call.owner, call.account),
        )
    charge(call, charge)
    note(next, rank, estimate, estimates)
    emitStart(next, rank, estimate)
}

private fun DispatchWork.emitStart(
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

private fun DispatchWork.note(
    entry: CallEntry,
    rank: RankKey,
    estimate: CandidateEstimate,
    estimates: List<CandidateEstimate>,
) {
    val attempt = entry.attempt ?: return
    val others = estimates.filter { it !== estimate }.sortedBy { it.totalMillis }.take(MAX_NOTED_ESTIMATES - 1)
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
    val notes = (core.placements[program].orEmpty() + note).takeLast(MAX_NOTES_PER_PROGRAM)
    core = core.copy(placements = core.placements.put(program, notes))
}
