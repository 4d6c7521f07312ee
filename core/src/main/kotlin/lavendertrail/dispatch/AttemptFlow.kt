package lavendertrail.dispatch

import lavendertrail.config.ModelRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId
import lavendertrail.model.Usage
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CallAttemptFailed
import lavendertrail.reducer.CallCompleted
import lavendertrail.reducer.CallFirstToken
import lavendertrail.reducer.CancelAttempt
import lavendertrail.reducer.DispatchCall

// Weight of the newest sample in averages of call times.
private const val SAMPLE_WEIGHT = 0.1
private const val MAX_BACKOFF_FACTOR = 16

// Share of an answer's decode time that counts as service: a batch decodes that many answers at once.
private const val DECODE_SHARE = 1.0 / 16
private const val TOOL_SERVICE_MILLIS = 50.0
private const val TYPICAL_ANSWER_TOKENS = 200

internal fun DispatchWork.modelOf(call: DispatchCall): ModelRecord? =
    (call.body as? CallBody.ModelCall)?.let { config.models[it.model] ?: ModelRecord(it.model) }

internal fun DispatchWork.expectedServiceMillis(
    entry: CallEntry,
    uncachedTokens: Int,
): Double = serviceMillis(entry.call, uncachedTokens, minOf(entry.call.maxTokens, TYPICAL_ANSWER_TOKENS).toLong())

private fun DispatchWork.serviceMillis(
    call: DispatchCall,
    uncachedTokens: Int,
    generatedTokens: Long,
): Double {
    val model = modelOf(call) ?: return TOOL_SERVICE_MILLIS
    return model.prefillMillis(uncachedTokens) + generatedTokens * 1_000 / model.decodeTokensPerSecond * DECODE_SHARE
}

/** Adds service to owner, account and program; a negative amount corrects an estimate that was too high. */
internal fun DispatchWork.charge(
    call: DispatchCall,
    serviceMillis: Double,
) {
    core =
        core.copy(
            share =
                core.share.charged(
                    call.owner,
                    ownerWeight(call.owner),
                    call.account,
                    accountWeight(call.account),
                    call.call.program,
                    serviceMillis,
                ),
        )
    refreshAccount(call.account)
}

/** Takes the running attempt off its server's books. */
internal fun DispatchWork.endAttempt(entry: CallEntry) {
    val attempt = entry.attempt ?: return
    val id = entry.call.call
    changeView(attempt.server) { view ->
        view.copy(
            running = view.running.remove(id),
            pendingPrefillTokens = (view.pendingPrefillTokens - attempt.pendingTokens).coerceAtLeast(0),
            isolatedBy = view.isolatedBy.takeIf { it != id },
        )
    }
    core =
        core.copy(
            accounts = core.accounts.ended(entry.call.account),
            poison = core.poison.ended(entry.call.fingerprint, attempt.server),
        )
    refreshAccount(entry.call.account)
    wakeFingerprint(entry.call.fingerprint)
}

/** Calls that waited for an end of the same request elsewhere are queued again. */
internal fun DispatchWork.wakeFingerprint(fingerprint: String) {
    val waiters = core.poison.waitingFor(fingerprint)
    if (waiters.isEmpty()) return
    core = core.copy(poison = core.poison.withoutWaiting(fingerprint))
    waiters.forEach { enqueue(it) }
}

private val RunningAttempt.pendingTokens: Int get() = if (firstTokenMillis == null) uncachedTokens else 0

private fun DispatchWork.runningEntry(
    call: CallId,
    attempt: Int,
): CallEntry? = core.calls[call]?.takeIf { it.phase == Phase.RUNNING && it.attempts == attempt }

internal fun DispatchWork.firstToken(event: CallFirstToken) {
    val entry = runningEntry(event.call, event.attempt) ?: return
    val attempt = entry.attempt ?: return
    if (attempt.firstTokenMillis != null) return
    changeView(attempt.server) { view ->
        view.copy(
            pendingPrefillTokens = (view.pendingPrefillTokens - attempt.uncachedTokens).coerceAtLeast(0),
            isolatedBy = view.isolatedBy.takeUnless { it == event.call && settings.isolationEndsAtFirstToken },
            heardMillis = nowMillis,
            backoffMillis = 0,
        )
    }
    put(entry.copy(attempt = attempt.copy(firstTokenMillis = nowMillis)))
    if (entry.isModelCall) {
        core =
            core.copy(cache = core.cache.recorded(attempt.server, entry.call, 0, nowMillis, nowMillis + settings.cacheHalfLifeMillis / 2))
    }
    pumpServer(attempt.server)
}

internal fun DispatchWork.completed(event: CallCompleted) {
    val entry = runningEntry(event.call, event.attempt) ?: return
    val attempt = entry.attempt ?: return
    val call = entry.call
    learn(entry, attempt, event.usage)
    clearSuspicion(entry)
    withdraw(entry)
    event.load?.let { applyLoad(attempt.server, it, ownCalls = view(attempt.server).running.size + 1) }
    if (entry.isModelCall) {
        val pinnedMillis = nowMillis + TURN_TRUST_MILLIS
        val cache = core.cache.recorded(attempt.server, call, event.usage.generatedTokens.toInt(), nowMillis, pinnedMillis)
        core = core.copy(cache = cache, lastServers = core.lastServers.put(call.call.program, attempt.server))
    }
    put(entry.copy(phase = Phase.VERDICT))
    finish(entry, CallResult.Answered(event.text, event.usage, attempt.server))
    pumpServer(attempt.server)
}

/** Engines keep a prompt for the pin of [StartAttempt]; a belief that young needs no discount. */
private const val TURN_TRUST_MILLIS = 2_000L

private fun DispatchWork.learn(
    entry: CallEntry,
    attempt: RunningAttempt,
    usage: Usage,
) {
    val record = config.servers[attempt.server]
    val tookMillis = (nowMillis - attempt.startedMillis).toDouble()
    val average = core.callMillis[entry.target]?.let { it + SAMPLE_WEIGHT * (tookMillis - it) } ?: tookMillis
    core = core.copy(callMillis = core.callMillis.put(entry.target, average))
    changeView(attempt.server) { view ->
        val serverMillis = if (view.callMillis == 0.0) tookMillis else view.callMillis + SAMPLE_WEIGHT * (tookMillis - view.callMillis)
        view.copy(callMillis = serverMillis, heardMillis = nowMillis, backoffMillis = 0)
    }
    if (attempt.resume || record == null) return
    val sample = sampleOf(entry, attempt, usage, record.maxRunningCalls)
    if (sample != null) changeView(attempt.server) { it.copy(limit = policies.limit.sampled(it.limit, sample)) }
    val uncached = (usage.promptTokens - usage.cachedTokens).coerceAtLeast(0).toInt()
    charge(entry.call, serviceMillis(entry.call, uncached, usage.generatedTokens) - attempt.chargedMillis)
}

/** The answer tells how many tokens were really cached, which the first token's event didn't know yet. */
private fun DispatchWork.sampleOf(
    entry: CallEntry,
    attempt: RunningAttempt,
    usage: Usage,
    maxRunningCalls: Int,
): LatencySample? {
    val model = modelOf(entry.call)
    if (model == null) {
        val overloadedBefore = view(attempt.server).limit.calls != null
        return if (overloadedBefore) {
            LatencySample(
                attempt.startedMillis,
                0,
                1.0,
                attempt.runningAtStart,
                maxRunningCalls,
                nowMillis,
            )
        } else {
            null
        }
    }
    val firstTokenMillis = (attempt.firstTokenMillis ?: return null) - attempt.startedMillis
    val uncached = (usage.promptTokens - usage.cachedTokens).coerceAtLeast(0).toInt()
    val oneTokenMillis = 1_000.0 / model.decodeTokensPerSecond
    return LatencySample(
        attempt.startedMillis,
        firstTokenMillis,
        model.prefillMillis(attempt.tokensAhead + uncached) + oneTokenMillis,
        attempt.runningAtStart,
        maxRunningCalls,
        nowMillis,
    )
}

internal fun DispatchWork.failed(event: CallAttemptFailed) {
    val entry = runningEntry(event.call, event.attempt) ?: return
    val attempt = entry.attempt ?: return
    withdraw(entry)
    noteFailure(entry, attempt, event.failure)
    val ended =
        entry.copy(
            phase = Phase.VERDICT,
            sinceMillis = nowMillis,
            mayHaveRun = entry.mayHaveRun || event.failure in UNKNOWN_END,
            hasRun = entry.hasRun || event.failure == AttemptFailure.ERROR,
            attempt = null,
            waitsFor = attempt.server,
        )
    put(ended)
    when {
        attempt.resume -> resumeFailed(ended, event)
        // The call waits for the verdict about its server.
        event.failure == AttemptFailure.CONNECTION_LOST && entry.call.repeatable && isEngine(attempt.server) -> Unit
        else -> retryOrRefuse(ended, event.failure, event.message)
    }
    pumpServer(attempt.server)
}

/** Failures after which the call may have been executed. */
private val UNKNOWN_END = setOf(AttemptFailure.CONNECTION_LOST, AttemptFailure.IDLE, AttemptFailure.DEADLINE)

private fun DispatchWork.noteFailure(
    entry: CallEntry,
    attempt: RunningAttempt,
    failure: AttemptFailure,
) {
    val server = attempt.server
    when (failure) {
        AttemptFailure.REJECTED -> backOff(server)
        AttemptFailure.BUSY -> overloaded(server, settings.serverBackoffMillis / 4)
        AttemptFailure.IDLE -> {
            effects += CancelAttempt(entry.call.call, entry.attempts, server)
            overloaded(server, 0)
            backOff(server)
        }
        AttemptFailure.CONNECTION_LOST -> if (isEngine(server)) noteLoss(entry, server) else backOff(server)

        AttemptFailure.DEADLINE, AttemptFailure.ERROR, AttemptFailure.UNKNOWN_STREAM -> Unit
    }
}

/** No new work there for a while, doubling with each failure in a row, and a poll to see how it is. */
private fun DispatchWork.backOff(server: ServerId) {
    val longest = settings.serverBackoffMillis * MAX_BACKOFF_FACTOR
    val pauseMillis = (view(server).backoffMillis * 2).coerceIn(settings.serverBackoffMillis, longest)
    suspendServer(server, pauseMillis)
    changeView(server) { it.copy(backoffMillis = pauseMillis) }
    poll(server, settings.serverBackoffMillis)
}

private fun DispatchWork.overloaded(
    server: ServerId,
    pauseMillis: Long,
) {
    val record = config.servers[server] ?: return
    changeView(server) { it.copy(limit = policies.limit.overloaded(it.limit, record.maxRunningCalls, nowMillis)) }
    if (pauseMillis > 0) suspendServer(server, pauseMillis)
}

private fun DispatchWork.suspendServer(
    server: ServerId,
    pauseMillis: Long,
) {
    val untilMillis = nowMillis + pauseMillis
    changeView(server) { it.copy(backoffUntilMillis = maxOf(it.backoffUntilMillis, untilMillis)) }
    setTimer(untilMillis, Timer.Wake(server))
}

internal fun DispatchWork.retryOrRefuse(
    entry: CallEntry,
    failure: AttemptFailure,
    message: String,
) {
    if (entry.moved) return giveUp(entry, failure, message)
    val query =
        RetryQuery(
            failure = failure,
            repeatable = entry.call.repeatable,
            attempts = entry.attempts,
            isModelCall = entry.isModelCall,
            budgetLeft = core.budget.allows(settings.retryBurst),
            maxAttempts = settings.maxAttempts,
            crashLimit = settings.poisonCrashLimit,
        )
    when (policies.retry(query)) {
        RetryDecision.GIVE_UP -> giveUp(entry, failure, message)
        RetryDecision.RETRY_FREE -> requeue(entry)
        RetryDecision.RETRY -> {
            core = core.copy(budget = core.budget.spent())
            requeue(entry)
        }
    }
}

private fun DispatchWork.requeue(entry: CallEntry) {
    put(entry)
    enqueue(entry.call.call)
    pump(entry.target)
}

private fun DispatchWork.giveUp(
    entry: CallEntry,
    failure: AttemptFailure,
    message: String,
) {
    val reason =
        when {
            failure == AttemptFailure.DEADLINE -> RefusalReason.DEADLINE
            failure == AttemptFailure.BUSY -> RefusalReason.OVERLOADED
            failure == AttemptFailure.ERROR && !entry.isModelCall -> RefusalReason.TOOL_FAILED
            else -> RefusalReason.SERVER_FAILED
        }
    val outcome = outcomeOf(entry)
    val mayRetry = entry.call.repeatable || outcome == RunOutcome.NOT_RUN
    refuse(entry, reason, message, MIN_RETRY_MILLIS.takeIf { mayRetry }, outcome, entry.waitsFor)
}
