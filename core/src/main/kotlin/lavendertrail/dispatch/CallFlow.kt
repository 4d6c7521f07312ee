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

// Sub-agents nest at most this deep in a program id.
private const val MAX_PARENTS = 8

/** A running call whose end is not reported this long after its deadline is given up. */
internal const val DEADLINE_GRACE_MILLIS: Long = 2_000

/** A call may be refused early only where its expected wait exceeds its deadline clearly. */
private const val HOPELESS_FACTOR = 2.0

internal fun DispatchWork.request(event: DispatchRequested) {
    val call = event.call
    val known = core.calls[call.call]
    if (known != null) {
        // The program came back to this node while its call still runs here: the call's end serves both requests.
        if (known.moved) put(known.copy(moved = false))
        return
    }
    val target = targetOf(call.body)
    if (target == null) {
        val refusal = Refusal(RunOutcome.NOT_RUN, RefusalReason.BAD_REQUEST, "a tool result is recorded and not sent", null, STEP)
        signals += DispatchFinished(call.call, CallResult.Refused(refusal), attempts = 0)
        return
    }
    admit(call)
    val entry = CallEntry(call, target, nowMillis, core.sequence, nowMillis, mayHaveRun = call.recovered || call.resumeOnly)
    put(entry)
    val siblings = core.callsOf[call.call.program] ?: persistentHashSetOf()
    core = core.copy(callsOf = core.callsOf.put(call.call.program, siblings.add(call.call)))
    setTimer(call.call, call.deadlineMillis, Timer.Deadline(call.call))
    val mustAsk = call.resumeOnly || (call.recovered && (target is Target.Model || !call.repeatable))
    if (mustAsk) ask(call.call) else enqueueNew(call.call)
}

private fun DispatchWork.admit(call: DispatchCall) {
    val program = call.call.program
    val known = core.share.ofProgram(program)
    val share = core.share.entered(call.owner, call.account)
    core =
        core.copy(
            sequence = core.sequence + 1,
            budget = core.budget.earned(settings.retryBudgetPercent),
            share = if (known == null) share.withProgram(program, ProgramService(call.serviceClass)) else share,
        )
    refreshAccount(call.account)
}

private fun DispatchWork.enqueueNew(id: CallId) {
    val entry = core.calls.getValue(id)
    val call = entry.call
    if (core.routes.serversOf(entry.target).isEmpty()) {
        return refuse(entry, RefusalReason.NO_SERVER, "no record names a server for ${entry.target}", settings.loadPollMillis)
    }
    val leftMillis = call.deadlineMillis - nowMillis
    val waitMillis = expectedWaitMillis(entry)
    if (leftMillis <= 0 || waitMillis > leftMillis * HOPELESS_FACTOR) {
        val message = "deadline in $leftMillis ms can't be met, expected wait ${waitMillis.toLong()} ms"
        return refuse(entry, RefusalReason.DEADLINE, message, waitMillis.toLong().coerceAtLeast(MIN_RETRY_MILLIS))
    }
    setTimer(id, nowMillis + settings.maxClassWaitMillis, Timer.Rerank(id))
    call.programDeadlineMillis
        ?.let { it - settings.nearDeadlineMillis }
        ?.takeIf { it > nowMillis && it < call.deadlineMillis }
        ?.let { setTimer(id, it, Timer.Rerank(id)) }
    enqueue(id)
    shedIfFull()
    pump(entry.target)
}

/** Puts a call where it waits: a suspect for a server of its own, every other call in the queue. */
internal fun DispatchWork.enqueue(id: CallId) {
    val entry = core.calls.getValue(id)
    val crashes = crashesOf(entry)
    if (crashes >= settings.poisonCrashLimit) return refusePoison(entry, crashes)
    if (crashes > 0) {
        put(entry.copy(phase = Phase.ISOLATING, sinceMillis = nowMillis, attempt = null, waitsFor = null, rank = null))
        core = core.copy(isolating = core.isolating.add(id))
        return
    }
    val rank = rankOf(entry)
    put(entry.copy(phase = Phase.QUEUED, sinceMillis = nowMillis, attempt = null, waitsFor = null, rank = rank))
    core =
        core.copy(
            queue =
                core.queue.add(
                    entry.target,
                    rank,
                    id,
                    core.share.ofAccount(rank.account),
                    accountWeight(rank.account),
                    blocked = rank.account in core.accounts.blocked,
                ),
        )
}

internal fun DispatchWork.crashesOf(entry: CallEntry): Int =
    core.poison.crashes(entry.call.fingerprint, nowMillis, settings.poisonExpiryMillis)

internal fun DispatchWork.rankOf(entry: CallEntry): RankKey {
    val call = entry.call
    val query =
        RankQuery(
            call = call,
            sequence = entry.sequence,
            waitedMillis = nowMillis - entry.enqueuedMillis,
            nowMillis = nowMillis,
            own = core.share.ofProgram(call.call.program),
            parents = if (call.blocksParent) parentsOf(call.call.program) else emptyList(),
            hint = core.hints[call.call],
            settings = settings,
        )
    return policies.rank(query)
}

private fun DispatchWork.parentsOf(program: ProgramId): List<ProgramService> =
    generateSequence(program.parent) { it.parent }.take(MAX_PARENTS).mapNotNull { core.share.ofProgram(it) }.toList()

internal fun DispatchWork.rerank(id: CallId) {
    val entry = core.calls[id] ?: return
    val rank = entry.rank ?: return
    if (entry.phase != Phase.QUEUED || rankOf(entry) == rank) return
    core = core.copy(queue = core.queue.remove(entry.target, rank))
    enqueue(id)
    pump(entry.target)
}

/** Wait until a call that is queued now starts, if those ahead take as long as calls of the target took lately. */
internal fun DispatchWork.expectedWaitMillis(entry: CallEntry): Double {
    val callMillis = core.callMillis[entry.target] ?: return 0.0
    val lane = laneOf(entry.call.serviceClass)
    val ahead = (0..lane).sumOf { core.queue.sizeOf(entry.target, it) }
    if (ahead == 0) return 0.0
    val slots = candidatesOf(entry.target).sumOf { it.limit }
    return if (slots == 0) 0.0 else ahead * callMillis / slots
}

private fun DispatchWork.shedIfFull() {
    if (core.queue.size <= settings.maxQueuedCalls) return
    val entry = core.calls[core.queue.shedCandidate() ?: return] ?: return
    val retryAfterMillis = (expectedWaitMillis(entry) * (1 + nextRandom())).toLong().coerceAtLeast(MIN_RETRY_MILLIS)
    refuse(entry, RefusalReason.OVERLOADED, "queue is full with ${core.queue.size - 1} calls", retryAfterMillis)
}

/** Takes a call out of where it waits or runs; its entry stays. Returns the attempt that was running. */
internal fun DispatchWork.withdraw(entry: CallEntry): RunningAttempt? {
    val id = entry.call.call
    when (entry.phase) {
        Phase.QUEUED -> entry.rank?.let { core = core.copy(queue = core.queue.remove(entry.target, it)) }
        Phase.HELD -> entry.waitsFor?.let { server -> changeView(server) { it.copy(heldCalls = it.heldCalls - id) } }
        Phase.ISOLATING -> stopIsolating(entry)
        Phase.FINGERPRINT_WAIT -> core = core.copy(poison = core.poison.withoutWaiting(entry.call.fingerprint, id))
        Phase.RUNNING -> endAttempt(entry)
        Phase.FINDING, Phase.VERDICT -> Unit
    }
    return entry.attempt
}

private fun DispatchWork.stopIsolating(entry: CallEntry) {
    core = core.copy(isolating = core.isolating.remove(entry.call.call))
    val server = entry.waitsFor ?: return
    changeView(server) { if (it.isolatedBy == entry.call.call) it.copy(isolatedBy = null) else it }
}

internal fun DispatchWork.refuse(
    entry: CallEntry,
    reason: RefusalReason,
    message: String,
    retryAfterMillis: Long? = null,
    outcome: RunOutcome = outcomeOf(entry),
    peer: ServerId? = entry.attempt?.server,
): Unit = finish(entry, CallResult.Refused(Refusal(outcome, reason, message, retryAfterMillis, STEP, peer?.value)))

/** What is true of the attempts that ended so far. */
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
    val message = "request ${entry.call.fingerprint} ran on $crashes servers when they crashed"
    refuse(entry, RefusalReason.POISON_REQUEST, message, retryAfterMillis = null)
}

/** The only place where a call leaves: it is in [DispatchCore.calls] until here, so its end is signalled once. */
internal fun DispatchWork.finish(
    entry: CallEntry,
    result: CallResult,
) {
    val current = core.calls[entry.call.call] ?: return
    val ended = withdraw(current)
    dropTimers(current)
    val call = current.call
    core =
        core.copy(
            calls = core.calls.remove(call.call),
            callsOf = core.callsOf.without(call.call),
            hints = if (core.hints.isEmpty()) core.hints else core.hints.remove(call.call),
            share = core.share.left(call.owner, call.account),
        )
    signals += DispatchFinished(call.call, result, current.attempts)
    if (ended != null && current.phase == Phase.RUNNING) pumpServer(ended.server)
}

private fun PersistentMap<ProgramId, PersistentSet<CallId>>.without(call: CallId): PersistentMap<ProgramId, PersistentSet<CallId>> {
    val left = this[call.program]?.remove(call) ?: return this
    return if (left.isEmpty()) remove(call.program) else put(call.program, left)
}

internal fun DispatchWork.cancel(event: DispatchCancelled) {
    val entry = core.calls[event.call] ?: return
    val attempt = entry.attempt.takeIf { entry.phase == Phase.RUNNING }
    if (attempt != null) effects += CancelAttempt(event.call, entry.attempts, attempt.server)
    val outcome = if (attempt != null) RunOutcome.MAY_HAVE_RUN else outcomeOf(entry)
    refuse(entry, RefusalReason.CANCELLED, "call ${event.call} was cancelled", null, outcome)
}

internal fun DispatchWork.deadlinePassed(id: CallId) {
    val entry = core.calls[id] ?: return
    if (entry.phase != Phase.RUNNING) {
        return refuse(entry, RefusalReason.DEADLINE, "deadline passed while the call was ${entry.phase.name.lowercase()}")
    }
    if (nowMillis < entry.call.deadlineMillis + DEADLINE_GRACE_MILLIS) {
        return setTimer(id, entry.call.deadlineMillis + DEADLINE_GRACE_MILLIS, Timer.Deadline(id))
    }
    entry.attempt?.let { effects += CancelAttempt(id, entry.attempts, it.server) }
    refuse(entry, RefusalReason.DEADLINE, "deadline passed and no end was reported", null, RunOutcome.MAY_HAVE_RUN)
}

internal val CallEntry.isModelCall: Boolean get() = call.body is CallBody.ModelCall

/** Step of the refusals that arise here. */
internal const val STEP: String = "dispatch"

/** Callers that are refused come back no sooner. */
internal const val MIN_RETRY_MILLIS: Long = 200
