package lavendertrail.dispatch

import lavendertrail.membership.ProbeMessage
import lavendertrail.model.AccountId
import lavendertrail.reducer.PoisonLearned
import lavendertrail.reducer.PoisonLifted

// Bounds the duration of one step. The remaining timers are handled at the next tick.
private const val MAX_TIMERS_PER_TICK = 2_000
private const val MAINTENANCE_INTERVAL_MILLIS = 500L
private const val UNREACHABLE_POLL_MILLIS = 1_000L

// A tool server can't be polled, so it gets calls again after this time.
private const val TOOL_RETRY_MILLIS = 5_000L

internal fun DispatchWork.handleTick() {
    var left = MAX_TIMERS_PER_TICK
    while (left-- > 0) {
        val key = core.timers.firstKey()?.takeIf { it.dueMillis <= nowMillis } ?: break
        val timer = core.timers[key] ?: break
        core = core.copy(timers = core.timers.remove(key))
        handleTimer(timer)
    }
    if (nowMillis >= core.nextMaintenanceMillis) runMaintenance()
}

private fun DispatchWork.handleTimer(timer: Timer) {
    when (timer) {
        is Timer.Deadline -> handleDeadline(timer.call)
        is Timer.Rerank -> rerank(timer.call)
        is Timer.HoldTimeout -> handleHoldTimeout(timer)
        is Timer.CrashVerdict -> handleVerdictTimeout(timer)
        is Timer.FindTimeout -> handleFindTimeout(timer.call)
        is Timer.ToolQueryRetry -> retryToolQuery(timer.call)
        is Timer.BackoffEnd -> startCallsOn(timer.server)
        is Timer.MissingServer -> handleMissingTimeout(timer)
    }
}

private fun DispatchWork.handleHoldTimeout(timer: Timer.HoldTimeout) {
    val entry = core.calls[timer.call]?.takeIf { it.phase == Phase.HELD } ?: return
    requeueWaitingCall(timer.call)
    startQueuedCalls(entry.target)
}

/** Periodic work: polls, expiries, and a check whether calls that waited because of other nodes can start. */
private fun DispatchWork.runMaintenance() {
    core =
        core.copy(
            nextMaintenanceMillis = nowMillis + MAINTENANCE_INTERVAL_MILLIS,
            poison = core.poison.withoutExpired(nowMillis, settings.poisonExpiryMillis),
        )
    pollLoads()
    core.accountUse.blockedAccounts.forEach { refreshAccount(it) }
    sweepPins()
    scaleModels()
    startAllQueuedCalls()
}

private fun DispatchWork.pollLoads() {
    for (target in core.routes.targets()) {
        for (record in core.routes.serversOf(target)) {
            val view = core.servers[record.server] ?: continue
            if (view.reachable) continue
            if (isEngine(record.server)) {
                pollLoad(record.server, UNREACHABLE_POLL_MILLIS)
            } else if (nowMillis - view.unreachableSinceMillis >= TOOL_RETRY_MILLIS) {
                updateView(record.server) { it.copy(reachable = true) }
            }
        }
        for (candidate in candidatesOf(target)) {
            val reportAgeMillis = nowMillis - candidate.view.loadReceivedMillis
            if (reportAgeMillis >= settings.loadPollMillis) pollLoad(candidate.record.server, settings.loadPollMillis)
        }
    }
}

/** Merges crash counts of other nodes. They also apply to queued calls, which are checked again when they are started. */
internal fun DispatchWork.handlePoisonLearned(event: PoisonLearned) {
    core = core.copy(poison = event.marks.fold(core.poison) { register, mark -> register.withMark(mark) })
    if (core.isolatingCalls.isNotEmpty()) startAllQueuedCalls()
}

/** Clears a mark that an operator lifted. Nodes learn of it by the deletion of the stored record, so nothing is saved. */
internal fun DispatchWork.handlePoisonLifted(event: PoisonLifted) {
    core = core.copy(poison = core.poison.withCleared(event.fingerprint, nowMillis))
    startAllQueuedCalls()
}

/** Applies the account shares and poison marks that nodes exchange in their probes. */
internal fun DispatchWork.handleProbe(message: ProbeMessage) {
    core = core.copy(accountUse = core.accountUse.withPeerShares(message.from, message.accountShares, nowMillis))
    if (message.poisonMarks.isNotEmpty()) handlePoisonLearned(PoisonLearned(message.poisonMarks))
    val changed = message.accountShares.mapTo(LinkedHashSet()) { AccountId(it.account) } + core.accountUse.blockedAccounts
    for (account in changed) {
        val wasBlocked = account in core.accountUse.blockedAccounts
        refreshAccount(account)
        if (wasBlocked && account !in core.accountUse.blockedAccounts) core.queue.targetsOf(account).forEach { startQueuedCalls(it) }
    }
}
