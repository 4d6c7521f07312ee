package lavendertrail.dispatch

import lavendertrail.config.ModelRecord
import lavendertrail.config.ServerRecord
import lavendertrail.model.CallId
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.model.RefusalReason
import lavendertrail.model.ServerId
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.PinCache
import lavendertrail.reducer.ProgramGone
import lavendertrail.reducer.ProgramPaused
import lavendertrail.reducer.ProgramResumed
import lavendertrail.reducer.ReleaseCache
import lavendertrail.reducer.TransferCache

// Pause lengths assumed for a tool without samples: most tools answer within seconds, some take a minute.
private const val DEFAULT_MEDIAN_MILLIS = 2_000L
private const val DEFAULT_LONG_MILLIS = 30_000L
private const val LONG_QUANTILE = 0.95

internal fun DispatchWork.handleProgramPaused(event: ProgramPaused) {
    val program = event.program
    val from = core.prefixCache.serverWithLongestPrefix(program) ?: return
    val prefix = core.prefixCache.serversOf(program).getValue(from)
    val record = config.servers[from] ?: return
    val model = config.models[record.models.firstOrNull()] ?: ModelRecord(record.models.firstOrNull() ?: UNKNOWN_MODEL)
    val query =
        PauseQuery(
            medianMillis = core.pauseStatistics.quantileMillis(event.tool, 0.5, DEFAULT_MEDIAN_MILLIS),
            longMillis = core.pauseStatistics.quantileMillis(event.tool, LONG_QUANTILE, DEFAULT_LONG_MILLIS),
            recomputeMillis = model.prefillMillis(prefix.tokens),
            transferMillis = prefix.tokens * 1_000.0 / model.transferTokensPerSecond,
            fillPercent = viewOf(from).cacheFillPercent(record),
            pinAllowed = isPinAllowed(from, record, prefix.tokens),
            exportTo = exportTarget(from, prefix.tokens),
            settings = settings,
        )
    when (val decision = policies.pause(query)) {
        is PauseDecision.Pin -> pinCache(from, program, decision.pinMillis)
        is PauseDecision.Export -> {
            effects += TransferCache(program, from, decision.to, prefix.tokens)
            core = core.copy(prefixCache = core.prefixCache.withTransfer(program, decision.to, prefix, nowMillis))
        }
        PauseDecision.Release -> {
            effects += ReleaseCache(from, program)
            core = core.copy(prefixCache = core.prefixCache.withPin(from, program, untilMillis = 0))
        }
        PauseDecision.NoAction -> Unit
    }
}

private val UNKNOWN_MODEL = ModelId("unknown")

private fun DispatchWork.pinCache(
    server: ServerId,
    program: ProgramId,
    pinMillis: Long,
) {
    effects += PinCache(server, program, pinMillis)
    val tokens = core.prefixCache.serversOf(program)[server]?.tokens ?: 0
    updateView(server) { it.copy(pins = it.pins.withoutExpired(nowMillis).withPin(program, nowMillis + pinMillis, tokens)) }
    core = core.copy(prefixCache = core.prefixCache.withPin(server, program, nowMillis + pinMillis))
}

/** Limits this node's share of pinned tokens, since they can't be evicted and an engine admits a call only if it fits beside them. */
private fun DispatchWork.isPinAllowed(
    server: ServerId,
    record: ServerRecord,
    tokens: Int,
): Boolean =
    record.cacheCapacityTokens <= 0 ||
        (viewOf(server).pins.withoutExpired(nowMillis).pinnedTokens + tokens) * 100 <=
        record.cacheCapacityTokens * settings.maxPinnedPercent

/** The candidate of the server's first model with the lowest cache fill that stays below the pressure level with the tokens. */
private fun DispatchWork.exportTarget(
    from: ServerId,
    tokens: Int,
): ServerId? {
    val target = core.routes.targetsOf(from).firstOrNull { it is Target.Model } ?: return null
    return candidatesOf(target)
        .filter { it.record.server != from && it.view.load != null && it.record.cacheCapacityTokens > 0 }
        .filter { it.view.cacheFillPercent(it.record) + tokens * 100L / it.record.cacheCapacityTokens < settings.cachePressurePercent }
        .minByOrNull { it.view.cacheFillPercent(it.record) }
        ?.record
        ?.server
}

internal fun DispatchWork.handleProgramResumed(event: ProgramResumed) {
    core = core.copy(pauseStatistics = core.pauseStatistics.withPause(event.tool, event.pausedMillis))
}

/** Cancels the program's calls and releases its pins. Where the program moved, both are left to the node that took it over. */
internal fun DispatchWork.handleProgramGone(event: ProgramGone) {
    val program = event.program
    core.callsByProgram[program].orEmpty().forEach { if (event.moved) handOverCall(it) else handleDispatchCancelled(DispatchCancelled(it)) }
    if (!event.moved) {
        core.prefixCache
            .serversOf(program)
            .keys
            .forEach { server ->
                effects += ReleaseCache(server, program)
                updateView(server) { it.copy(pins = it.pins.withoutPin(program)) }
            }
    }
    core =
        core.copy(
            prefixCache = core.prefixCache.withoutProgram(program),
            fairShare = core.fairShare.withoutProgram(program),
            lastServers = core.lastServers.remove(program),
        )
}

/** Leaves a running attempt to the next owner node, which resumes its stream at the engine, and refuses a waiting call. */
private fun DispatchWork.handOverCall(id: CallId) {
    val entry = core.calls[id] ?: return
    if (entry.phase == Phase.RUNNING) {
        putCall(entry.copy(programMoved = true))
    } else {
        refuse(entry, RefusalReason.NOT_OWNER, "the program moved to another node", MIN_RETRY_AFTER_MILLIS)
    }
}
