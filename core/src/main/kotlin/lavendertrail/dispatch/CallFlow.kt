package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.DispatchFinished
import lavendertrail.reducer.DispatchRequested

// Number of ancestors of a nested sub-agent that are considered for its rank.
private const val MAX_ANCESTORS = 8

/** A running call whose outcome is not reported within this time after its deadline is refused. */
internal const val DEADLINE_GRACE_MILLIS: Long = 2_000

/** The expected wait is an estimate: a call is refused early only where it exceeds the remaining time by this factor. */
private const val EARLY_REFUSAL_WAIT_FACTOR = 2.0

internal fun DispatchWork.handleDispatchRequested(event: DispatchRequested) {
    val call = event.call
    val known = core.calls[call.call]
    if (known != null) {
        // The program returned to this node while its call still runs here. The outcome of that call answers both requests.
        if (known.programMoved) putCall(known.copy(programMoved = false))
        return
    }
    val target = targetOf(call.body)
    if (target == null) {
        val refusal = Refusal(RunOutcome.NOT_RUN, RefusalReason.BAD_REQUEST, "a tool result can't be dispatched", null, DISPATCH_STEP)
        signals += DispatchFinished(call.call, CallResult.Refused(refusal), attempts = 0)
        return
    }
    registerCall(call)
    val entry = CallEntry(call, target, nowMillis, core.sequence, nowMillis, mayHaveRun = call.recovered || call.resumeOnly)
    putCall(entry)
    val siblings = core.callsByProgram[call.call.program] ?: persistentHashSetOf()
    core = core.copy(callsByProgram = core.callsByProgram.put(call.call.program, siblings.add(call.call)))
    setTimer(call.call, call.deadlineMillis, Timer.Deadline(call.call))
    val mustQueryServers = call.resumeOnly || (call.recovered && (target is Target.Model || !call.repeatable))
    if (mustQueryServers) findRecoveredCall(call.call) else enqueueNew(call.call)
}

private fun DispatchWork.registerCall(call: DispatchCall) {
    val program = call.call.program
    val known = core.fairShare.programService(program)
    val share = core.fairShare.withActiveCall(call.owner, call.account)
    core =
        core.copy(
            sequence = core.sequence + 1,
            retryBudget = core.retryBudget.withEarned(settings.retryBudgetPercent),
            fairShare = if (known == null) share.withProgram(program, ProgramService(call.serviceClass)) else share,
        )
    refreshAccount(call.account)
}

private fun DispatchWork.enqueueNew(id: CallId) {
    val entry = core.calls.getValue(id)
    val call = entry.call
    if (core.routes.serversOf(entry.target).isEmpty()) {
        return refuse(entry, RefusalReason.NO_SERVER, "no server is configured for ${entry.target}", settings.loadPollMillis)
    }
    val leftMillis = call.deadlineMillis - nowMillis
    val waitMillis = expectedWaitMillis(entry)
    if (leftMillis <= 0 || waitMillis > leftMillis * EARLY_REFUSAL_WAIT_FACTOR) {
        val message = "deadline in $leftMillis ms can't be met, expected wait ${waitMillis.toLong()} ms"
        return refuse(entry, RefusalReason.DEADLINE, message, waitMillis.toLong().coerceAtLeast(MIN_RETRY_AFTER_MILLIS))
    }
    setTimer(id, nowMillis + settings.maxClassWaitMillis, Timer.Rerank(id))
    call.programDeadlineMillis
        ?.let { it - settings.nearDeadlineMillis }
        ?.takeIf { it > nowMillis && it < call.deadlineMillis }
        ?.let { setTimer(id, it, Timer.Rerank(id)) }
    enqueue(id)
    shedIfFull()
    startQueuedCalls(entry.target)
}

/** Queues a call. A suspected poison request waits for isolation instead; one over the crash limit is refused. */
internal fun DispatchWork.enqueue(id: CallId) {
    val entry = core.calls.getValue(id)
    val crashes = crashesOf(entry)
    if (crashes >= settings.poisonCrashLimit) return refusePoison(entry, crashes)
    if (crashes > 0) {
        putCall(entry.copy(phase = Phase.ISOLATING, phaseSinceMillis = nowMillis, attempt = null, awaitedServer = null, rank = null))
        core = core.copy(isolatingCalls = core.isolatingCalls.add(id))
        return
    }
    val rank = rankOf(entry)
    putCall(entry.copy(phase = Phase.QUEUED, phaseSinceMillis = nowMillis, attempt = null, awaitedServer = null, rank = rank))
    core =
        core.copy(
            queue =
                core.queue.add(
                    entry.target,
                    rank,
                    id,
                    core.fairShare.accountService(rank.account),
                    accountWeight(rank.account),
                    blocked = rank.account in core.accountUse.blockedAccounts,
                ),
        )
}

internal fun DispatchWork.crashesOf(entry: CallEntry): Int =
    core.poison.crashCount(entry.call.fingerprint, nowMillis, settings.poisonExpiryMillis)

internal fun DispatchWork.rankOf(entry: CallEntry): RankKey {
    val call = entry.call
    val query =
        RankQuery(
            call = call,
            sequence = entry.sequence,
            waitedMillis = nowMillis - entry.enqueuedMillis,
            nowMillis = nowMillis,
            service = core.fairShare.programService(call.call.program),
            ancestors = if (call.blocksParent) ancestorServicesOf(call.call.program) else emptyList(),
            hint = core.hints[call.call],
            settings = settings,
        )
    return policies.rank(query)
}

private fun DispatchWork.ancestorServicesOf(program: ProgramId): List<ProgramService> =
    generateSequence(program.parent) { it.parent }.take(MAX_ANCESTORS).mapNotNull { core.fairShare.programService(it) }.toList()

internal fun DispatchWork.rerank(id: CallId) {
    val entry = core.calls[id] ?: return
    val rank = entry.rank ?: return
    if (entry.phase != Phase.QUEUED || rankOf(entry) == rank) return
    core = core.copy(queue = core.queue.remove(entry.target, rank))
    enqueue(id)
    startQueuedCalls(entry.target)
}

/** Expected queueing time of a new call, from the number of calls ahead of it and the average call duration of its target. */
internal fun DispatchWork.expectedWaitMillis(entry: CallEntry): Double {
    val callMillis = core.averageCallMillis[entry.target] ?: return 0.0
    val lane = laneOf(entry.call.serviceClass)
    val ahead = (0..lane).sumOf { core.queue.sizeOf(entry.target, it) }
    if (ahead == 0) return 0.0
    val slots = candidatesOf(entry.target).sumOf { it.limit }
    return if (slots == 0) 0.0 else ahead * callMillis / slots
}

private fun DispatchWork.shedIfFull() {
    if (core.queue.size <= settings.maxQueuedCalls) return
    val entry = core.calls[core.queue.shedCandidate() ?: return] ?: return
    val retryAfterMillis = (expectedWaitMillis(entry) * (1 + nextRandom())).toLong().coerceAtLeast(MIN_RETRY_AFTER_MILLIS)
    refuse(entry, RefusalReason.OVERLOADED, "queue is full with ${core.queue.size - 1} calls", retryAfterMillis)
}

/** Removes a call from the structures of its current phase and keeps its entry. Returns the attempt that was running, if any. */
internal fun DispatchWork.leavePhase(entry: CallEntry): RunningAttempt? {
    val id = entry.call.call
    when (entry.phase) {
        Phase.QUEUED -> entry.rank?.let { core = core.copy(queue = core.queue.remove(entry.target, it)) }
        Phase.HELD -> entry.awaitedServer?.let { server -> updateView(server) { it.copy(heldCalls = it.heldCalls - id) } }
        Phase.ISOLATING -> stopIsolating(entry)
        Phase.FINGERPRINT_WAIT -> core = core.copy(poison = core.poison.withoutWaiting(entry.call.fingerprint, id))
        Phase.RUNNING -> endAttempt(entry)
        Phase.FINDING, Phase.VERDICT -> Unit
    }
    return entry.attempt
}

private fun DispatchWork.stopIsolating(entry: CallEntry) {
    core = core.copy(isolatingCalls = core.isolatingCalls.remove(entry.call.call))
    val server = entry.awaitedServer ?: return
    updateView(server) { if (it.isolatedBy == entry.call.call) it.copy(isolatedBy = null) else it }
}

internal fun DispatchWork.refuse(
    entry: CallEntry,
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
    outcome: RunOutcome = outcomeOf(entry),
    peer: ServerId? = entry.attempt?.server,
): Unit = finish(entry, CallResult.Refused(Refusal(outcome, reason, message, retryAfterMillis, DISPATCH_STEP, peer?.value)))

/** Outcome of the attempts that have ended so far. */
internal fun outcomeOf(entry: CallEntry): RunOutcome =
    when {
        entry.mayHaveRun -> RunOutcome.MAY_HAVE_RUN
        entry.hasRun -> RunOutcome.RUN
        else -> RunOutcome.NOT_RUN
    }

internal fun DispatchWork.refusePoison(
    entry: CallEntry,
    crashes: Int,
) {
    val message = "request ${entry.call.fingerprint} was running on $crashes servers when they crashed"
    refuse(entry, RefusalReason.POISON_REQUEST, message, retryAfterMillis = null)
}

/** Removes a call and signals its end. A call stays in [DispatchCore.calls] until then, so it is signalled exactly once. */
internal fun DispatchWork.finish(
    entry: CallEntry,
    result: CallResult,
) {
    val current = core.calls[entry.call.call] ?: return
    val ended = leavePhase(current)
    removeTimers(current)
    val call = current.call
    core =
        core.copy(
            calls = core.calls.remove(call.call),
            callsByProgram = core.callsByProgram.without(call.call),
            hints = if (core.hints.isEmpty()) core.hints else core.hints.remove(call.call),
            fairShare = core.fairShare.withoutActiveCall(call.owner, call.account),
        )
    signals += DispatchFinished(call.call, result, current.attempts)
    if (ended != null && current.phase == Phase.RUNNING) startCallsOn(ended.server)
}

private fun PersistentMap<ProgramId, PersistentSet<CallId>>.without(call: CallId): PersistentMap<ProgramId, PersistentSet<CallId>> {
    val remaining = this[call.program]?.remove(call) ?: return this
    return if (remaining.isEmpty()) remove(call.program) else put(call.program, remaining)
}

internal fun DispatchWork.handleDispatchCancelled(event: DispatchCancelled) {
    val entry = core.calls[event.call] ?: return
    val attempt = entry.attempt.takeIf { entry.phase == Phase.RUNNING }
    if (attempt != null) effects += CancelAttempt(event.call, entry.attempts, attempt.server)
    val outcome = if (attempt != null) RunOutcome.MAY_HAVE_RUN else outcomeOf(entry)
    refuse(entry, RefusalReason.CANCELLED, "call ${event.call} was cancelled", null, outcome)
}

internal fun DispatchWork.handleDeadline(id: CallId) {
    val entry = core.calls[id] ?: return
    if (entry.phase != Phase.RUNNING) {
        return refuse(entry, RefusalReason.DEADLINE, "deadline passed while the call was ${entry.phase.name.lowercase()}")
    }
    if (nowMillis < entry.call.deadlineMillis + DEADLINE_GRACE_MILLIS) {
        return setTimer(id, entry.call.deadlineMillis + DEADLINE_GRACE_MILLIS, Timer.Deadline(id))
    }
    entry.attempt?.let { effects += CancelAttempt(id, entry.attempts, it.server) }
    refuse(entry, RefusalReason.DEADLINE, "deadline passed and the server did not report an outcome", null, RunOutcome.MAY_HAVE_RUN)
}

internal val CallEntry.isModelCall: Boolean get() = call.body is CallBody.ModelCall

/** The step that refusals by dispatch name. */
internal const val DISPATCH_STEP: String = "dispatch"

/** Minimum delay before a refused caller may retry. */
internal const val MIN_RETRY_AFTER_MILLIS: Long = 200
