package lavendertrail.dispatch

import lavendertrail.membership.ProbeMessage
import lavendertrail.model.AccountId
import lavendertrail.reducer.PoisonLearned
import lavendertrail.reducer.PoisonLifted

// Bounds one step; what is left is done at the next tick.
private const val MAX_TIMERS_PER_TICK = 2_000
private const val UPKEEP_MILLIS = 500L
private const val LOST_POLL_MILLIS = 1_000L

// A tool's server can't be polled: after this time the next call tries it again.
private const val TOOL_RETRY_MILLIS = 5_000L

internal fun DispatchWork.tick() {
    var left = MAX_TIMERS_PER_TICK
    while (left-- > 0) {
        val key = core.timers.firstKey()?.takeIf { it.dueMillis <= nowMillis } ?: break
        val timer = core.timers[key] ?: break
        core = core.copy(timers = core.timers.remove(key))
        fire(timer)
    }
    if (nowMillis >= core.nextUpkeepMillis) upkeep()
}

private fun DispatchWork.fire(timer: Timer) {
    when (timer) {
        is Timer.Deadline -> deadlinePassed(timer.call)
        is Timer.Rerank -> rerank(timer.call)
        is Timer.HoldEnd -> holdEnded(timer)
        is Timer.Verdict -> verdictOverdue(timer)
        is Timer.FindEnd -> findEnded(timer.call)
        is Timer.AskAgain -> askAgain(timer.call)
        is Timer.Wake -> pumpServer(timer.server)
        is Timer.Missing -> stillMissing(timer)
    }
}

private fun DispatchWork.holdEnded(timer: Timer.HoldEnd) {
    val entry = core.calls[timer.call]?.takeIf { it.phase == Phase.HELD } ?: return
    release(timer.call)
    pump(entry.target)
}

/** Work that is not due at a set time: polls, expiries, and a second look at what waits on other nodes. */
private fun DispatchWork.upkeep() {
    core =
        core.copy(
            nextUpkeepMillis = nowMillis + UPKEEP_MILLIS,
            poison = core.poison.expired(nowMillis, settings.poisonExpiryMillis),
        )
    pollLoads()
    core.accounts.blocked.forEach { refreshAccount(it) }
    sweepPins()
    scaleModels()
    pumpAll()
}

private fun DispatchWork.pollLoads() {
    for (target in core.routes.targets()) {
        for (record in core.routes.serversOf(target)) {
            val view = core.servers[record.server] ?: continue
            if (view.reachable) continue
            if (isEngine(record.server)) {
                poll(record.server, LOST_POLL_MILLIS)
            } else if (nowMillis - view.unreachableSinceMillis >= TOOL_RETRY_MILLIS) {
                changeView(record.server) { it.copy(reachable = true) }
            }
        }
        for (candidate in candidatesOf(target)) {
            if (nowMillis - candidate.view.loadAtMillis >= settings.loadPollMillis) poll(candidate.record.server, settings.loadPollMillis)
        }
    }
}

/** Counts of other nodes also change what is queued: it is checked again when it is started. */
internal fun DispatchWork.poisonLearned(event: PoisonLearned) {
    core = core.copy(poison = event.marks.fold(core.poison) { register, mark -> register.learned(mark) })
    if (core.isolating.isNotEmpty()) pumpAll()
}

/** The record in the service is already deleted: its deletion is how nodes learn that an operator lifted the mark. */
internal fun DispatchWork.poisonLifted(event: PoisonLifted) {
    core = core.copy(poison = core.poison.cleared(event.fingerprint, nowMillis))
    pumpAll()
}

/** Account shares and poison marks travel with the probes between nodes. */
internal fun DispatchWork.probed(message: ProbeMessage) {
    core = core.copy(accounts = core.accounts.heard(message.from, message.accountShares, nowMillis))
    if (message.poisonMarks.isNotEmpty()) poisonLearned(PoisonLearned(message.poisonMarks))
    val changed = message.accountShares.mapTo(LinkedHashSet()) { AccountId(it.account) } + core.accounts.blocked
    for (account in changed) {
        val wasBlocked = account in core.accounts.blocked
        refreshAccount(account)
        if (wasBlocked && account !in core.accounts.blocked) core.queue.targetsOf(account).forEach { pump(it) }
    }
}
