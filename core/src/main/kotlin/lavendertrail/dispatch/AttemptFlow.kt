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

// Weight of the newest sample in the moving average of call durations.
private const val CALL_TIME_SAMPLE_WEIGHT = 0.1
private const val MAX_BACKOFF_FACTOR = 16

// Share of an answer's decode time that is charged as service: an engine decodes about 16 answers in one batch.
private const val DECODE_BATCH_SHARE = 1.0 / 16
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
    return model.prefillMillis(uncachedTokens) + generatedTokens * 1_000 / model.decodeTokensPerSecond * DECODE_BATCH_SHARE
}

/** Charges service to owner, account and program. A negative amount corrects an estimate that was too high. */
internal fun DispatchWork.chargeService(
    call: DispatchCall,
    serviceMillis: Double,
) {
    core =
        core.copy(
            fairShare =
                core.fairShare.withServiceCharged(
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

/** Removes the running attempt from the counts of its server, account and fingerprint. */
internal fun DispatchWork.endAttempt(entry: CallEntry) {
    val attempt = entry.attempt ?: return
    val id = entry.call.call
    updateView(attempt.server) { view ->
        view.copy(
            running = view.running.remove(id),
            pendingPrefillTokens = (view.pendingPrefillTokens - attempt.pendingPrefillTokens).coerceAtLeast(0),
            isolatedBy = view.isolatedBy.takeIf { it != id },
        )
    }
    core =
        core.copy(
            accountUse = core.accountUse.withEndedCall(entry.call.account),
            poison = core.poison.withRunEnded(entry.call.fingerprint, attempt.server),
        )
    refreshAccount(entry.call.account)
    requeueFingerprintWaiters(entry.call.fingerprint)
}

/** Queues the calls again that waited because the same request was running on other servers. */
internal fun DispatchWork.requeueFingerprintWaiters(fingerprint: String) {
    val waiters = core.poison.waitingFor(fingerprint)
    if (waiters.isEmpty()) return
    core = core.copy(poison = core.poison.withoutWaiting(fingerprint))
    waiters.forEach { enqueue(it) }
}

private val RunningAttempt.pendingPrefillTokens: Int get() = if (firstTokenMillis == null) uncachedTokens else 0

private fun DispatchWork.runningEntry(
    call: CallId,
    attempt: Int,
): CallEntry? = core.calls[call]?.takeIf { it.phase == Phase.RUNNING && it.attempts == attempt }

internal fun DispatchWork.handleFirstToken(event: CallFirstToken) {
    val entry = runningEntry(event.call, event.attempt) ?: return
    val attempt = entry.attempt ?: return
    if (attempt.firstTokenMillis != null) return
    updateView(attempt.server) { view ->
        view.copy(
            pendingPrefillTokens = (view.pendingPrefillTokens - attempt.uncachedTokens).coerceAtLeast(0),
            isolatedBy = view.isolatedBy.takeUnless { it == event.call && settings.isolationEndsAtFirstToken },
            lastSeenMillis = nowMillis,
            backoffMillis = 0,
        )
    }
    putCall(entry.copy(attempt = attempt.copy(firstTokenMillis = nowMillis)))
    if (entry.isModelCall) {
        val fullValueUntilMillis = nowMillis + settings.cacheHalfLifeMillis / 2
        core = core.copy(prefixCache = core.prefixCache.withPrompt(attempt.server, entry.call, 0, nowMillis, fullValueUntilMillis))
    }
    startCallsOn(attempt.server)
}

internal fun DispatchWork.handleCallCompleted(event: CallCompleted) {
    val entry = runningEntry(event.call, event.attempt) ?: return
    val attempt = entry.attempt ?: return
    val call = entry.call
    recordMeasurements(entry, attempt, event.usage)
    clearCrashMark(entry)
    leavePhase(entry)
    event.load?.let { applyLoad(attempt.server, it, ownCalls = viewOf(attempt.server).running.size + 1) }
    if (entry.isModelCall) {
        val pinnedUntilMillis = nowMillis + TURN_PIN_TRUST_MILLIS
        val cache = core.prefixCache.withPrompt(attempt.server, call, event.usage.generatedTokens.toInt(), nowMillis, pinnedUntilMillis)
        core = core.copy(prefixCache = cache, lastServers = core.lastServers.put(call.call.program, attempt.server))
    }
    putCall(entry.copy(phase = Phase.VERDICT))
    finish(entry, CallResult.Answered(event.text, event.usage, attempt.server))
    startCallsOn(attempt.server)
}

/**
 * Time for which a prompt just computed is expected to be cached in full. An engine pins the prompt for the pin duration of
 * [lavendertrail.reducer.StartAttempt], so its entry isn't discounted by age until then.
 */
private const val TURN_PIN_TRUST_MILLIS = 2_000L

private fun DispatchWork.recordMeasurements(
    entry: CallEntry,
    attempt: RunningAttempt,
    usage: Usage,
) {
    val record = config.servers[attempt.server]
    val tookMillis = (nowMillis - attempt.startedMillis).toDouble()
    val average = core.averageCallMillis[entry.target]?.let { it + CALL_TIME_SAMPLE_WEIGHT * (tookMillis - it) } ?: tookMillis
    core = core.copy(averageCallMillis = core.averageCallMillis.put(entry.target, average))
    updateView(attempt.server) { view ->
        val before = view.averageCallMillis
        val serverMillis = if (before == 0.0) tookMillis else before + CALL_TIME_SAMPLE_WEIGHT * (tookMillis - before)
        view.copy(averageCallMillis = serverMillis, lastSeenMillis = nowMillis, backoffMillis = 0)
    }
    if (attempt.resume || record == null) return
    val sample = latencySampleOf(entry, attempt, usage, record.maxRunningCalls)
    if (sample != null) updateView(attempt.server) { it.copy(limit = policies.limit.afterSample(it.limit, sample)) }
    val uncached = (usage.promptTokens - usage.cachedTokens).coerceAtLeast(0).toInt()
    chargeService(entry.call, serviceMillis(entry.call, uncached, usage.generatedTokens) - attempt.chargedMillis)
}

/**
 * Builds the latency sample when the call has completed, since only the usage of the answer tells how many prompt tokens
 * were cached; the first-token event doesn't. Null where the attempt gives no sample.
 */
private fun DispatchWork.latencySampleOf(
    entry: CallEntry,
    attempt: RunningAttempt,
    usage: Usage,
    maxRunningCalls: Int,
): LatencySample? {
    val model = modelOf(entry.call)
    if (model == null) {
        val overloadedBefore = viewOf(attempt.server).limit.calls != null
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
        model.prefillMillis(attempt.prefillTokensAhead + uncached) + oneTokenMillis,
        attempt.runningAtStart,
        maxRunningCalls,
        nowMillis,
    )
}

internal fun DispatchWork.handleAttemptFailed(event: CallAttemptFailed) {
    val entry = runningEntry(event.call, event.attempt) ?: return
    val attempt = entry.attempt ?: return
    leavePhase(entry)
    applyFailureToServer(entry, attempt, event.failure)
    val ended =
        entry.copy(
            phase = Phase.VERDICT,
            phaseSinceMillis = nowMillis,
            mayHaveRun = entry.mayHaveRun || event.failure in FAILURES_AFTER_POSSIBLE_RUN,
            hasRun = entry.hasRun || event.failure == AttemptFailure.ERROR,
            attempt = null,
            awaitedServer = attempt.server,
        )
    putCall(ended)
    when {
        attempt.resume -> handleResumeFailure(ended, event)
        // The call waits until it is known whether its server crashed.
        event.failure == AttemptFailure.CONNECTION_LOST && entry.call.repeatable && isEngine(attempt.server) -> Unit
        else -> retryOrRefuse(ended, event.failure, event.message)
    }
    startCallsOn(attempt.server)
}

/** Failures after which the call may have been executed. */
private val FAILURES_AFTER_POSSIBLE_RUN = setOf(AttemptFailure.CONNECTION_LOST, AttemptFailure.IDLE, AttemptFailure.DEADLINE)

private fun DispatchWork.applyFailureToServer(
    entry: CallEntry,
    attempt: RunningAttempt,
    failure: AttemptFailure,
) {
    val server = attempt.server
    when (failure) {
        AttemptFailure.REJECTED -> backOff(server)
        AttemptFailure.BUSY -> handleOverload(server, settings.serverBackoffMillis / 4)
        AttemptFailure.IDLE -> {
            effects += CancelAttempt(entry.call.call, entry.attempts, server)
            handleOverload(server, 0)
            backOff(server)
        }
        AttemptFailure.CONNECTION_LOST -> if (isEngine(server)) recordConnectionLoss(entry, server) else backOff(server)

        AttemptFailure.DEADLINE, AttemptFailure.ERROR, AttemptFailure.UNKNOWN_STREAM -> Unit
    }
}

/**
 * Suspends new calls to the server with exponential backoff, doubled for each consecutive failure, and requests its load
 * report.
 */
private fun DispatchWork.backOff(server: ServerId) {
    val longest = settings.serverBackoffMillis * MAX_BACKOFF_FACTOR
    val pauseMillis = (viewOf(server).backoffMillis * 2).coerceIn(settings.serverBackoffMillis, longest)
    suspendServer(server, pauseMillis)
    updateView(server) { it.copy(backoffMillis = pauseMillis) }
    pollLoad(server, settings.serverBackoffMillis)
}

private fun DispatchWork.handleOverload(
    server: ServerId,
    pauseMillis: Long,
) {
    val record = config.servers[server] ?: return
    updateView(server) { it.copy(limit = policies.limit.afterOverload(it.limit, record.maxRunningCalls, nowMillis)) }
    if (pauseMillis > 0) suspendServer(server, pauseMillis)
}

private fun DispatchWork.suspendServer(
    server: ServerId,
    pauseMillis: Long,
) {
    val untilMillis = nowMillis + pauseMillis
    updateView(server) { it.copy(backoffUntilMillis = maxOf(it.backoffUntilMillis, untilMillis)) }
    setTimer(untilMillis, Timer.BackoffEnd(server))
}

internal fun DispatchWork.retryOrRefuse(
    entry: CallEntry,
    failure: AttemptFailure,
    message: String,
) {
    if (entry.programMoved) return refuseAfterFailure(entry, failure, message)
    val query =
        RetryQuery(
            failure = failure,
            repeatable = entry.call.repeatable,
            attempts = entry.attempts,
            isModelCall = entry.isModelCall,
            hasBudget = core.retryBudget.allows(settings.retryBurst),
            maxAttempts = settings.maxAttempts,
            crashLimit = settings.poisonCrashLimit,
        )
    when (policies.retry(query)) {
        RetryDecision.GIVE_UP -> refuseAfterFailure(entry, failure, message)
        RetryDecision.RETRY_FREE -> requeue(entry)
        RetryDecision.RETRY -> {
            core = core.copy(retryBudget = core.retryBudget.withSpent())
            requeue(entry)
        }
    }
}

private fun DispatchWork.requeue(entry: CallEntry) {
    putCall(entry)
    enqueue(entry.call.call)
    startQueuedCalls(entry.target)
}

private fun DispatchWork.refuseAfterFailure(
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
    refuse(entry, reason, message, MIN_RETRY_AFTER_MILLIS.takeIf { mayRetry }, outcome, entry.awaitedServer)
}
