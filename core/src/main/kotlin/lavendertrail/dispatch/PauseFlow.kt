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

// Assumed for a tool that was not seen yet: most tools answer within seconds, some take a minute.
private const val UNKNOWN_MEDIAN_MILLIS = 2_000L
private const val UNKNOWN_LONG_MILLIS = 30_000L
private const val LONG_QUANTILE = 0.95

internal fun DispatchWork.paused(event: ProgramPaused) {
    val program = event.program
    val from = core.cache.serverWithMost(program) ?: return
    val prefix = core.cache.serversOf(program).getValue(from)
    val record = config.servers[from] ?: return
    val model = config.models[record.models.firstOrNull()] ?: ModelRecord(record.models.firstOrNull() ?: UNKNOWN_MODEL)
    val query =
        PauseQuery(
            medianMillis = core.pauses.quantileMillis(event.tool, 0.5, UNKNOWN_MEDIAN_MILLIS),
            longMillis = core.pauses.quantileMillis(event.tool, LONG_QUANTILE, UNKNOWN_LONG_MILLIS),
            recomputeMillis = model.prefillMillis(prefix.tokens),
            transferMillis = prefix.tokens * 1_000.0 / model.transferTokensPerSecond,
            fillPercent = view(from).cacheFillPercent(record),
            mayPin = mayPin(from, record, prefix.tokens),
            exportTo = exportTarget(from, prefix.tokens),
            settings = settings,
        )
    when (val decision = policies.pause(query)) {
        is PauseDecision.Keep -> keep(from, program, decision.pinMillis)
        is PauseDecision.Export -> {
            effects += TransferCache(program, from, decision.to, prefix.tokens)
            core = core.copy(cache = core.cache.transferred(program, decision.to, prefix, nowMillis))
        }
        PauseDecision.Drop -> {
            effects += ReleaseCache(from, program)
            core = core.copy(cache = core.cache.pinned(from, program, untilMillis = 0))
        }
        PauseDecision.Leave -> Unit
    }
}

private val UNKNOWN_MODEL = ModelId("unknown")

private fun DispatchWork.keep(
    server: ServerId,
    program: ProgramId,
    pinMillis: Long,
) {
    effects += PinCache(server, program, pinMillis)
    val tokens = core.cache.serversOf(program)[server]?.tokens ?: 0
    changeView(server) { it.copy(pins = it.pins.expired(nowMillis).added(program, nowMillis + pinMillis, tokens)) }
    core = core.copy(cache = core.cache.pinned(server, program, nowMillis + pinMillis))
}

/** Pinned tokens can't be evicted, and an engine admits a call only when it fits beside them. */
private fun DispatchWork.mayPin(
    server: ServerId,
    record: ServerRecord,
    tokens: Int,
): Boolean =
    record.cacheCapacityTokens <= 0 ||
        (view(server).pins.expired(nowMillis).tokens + tokens) * 100 <= record.cacheCapacityTokens * settings.maxPinnedPercent

/** The emptiest other candidate of the server's first model, if the tokens leave it clearly under the pressure mark. */
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

internal fun DispatchWork.resumed(event: ProgramResumed) {
    core = core.copy(pauses = core.pauses.learned(event.tool, event.pausedMillis))
}

/** Pins are released at once, except where another node goes on with the program. */
internal fun DispatchWork.gone(event: ProgramGone) {
    val program = event.program
    core.callsOf[program].orEmpty().forEach { if (event.moved) leave(it) else cancel(DispatchCancelled(it)) }
    if (!event.moved) {
        core.cache
            .serversOf(program)
            .keys
            .forEach { server ->
                effects += ReleaseCache(server, program)
                changeView(server) { it.copy(pins = it.pins.removed(program)) }
            }
    }
    core =
        core.copy(
            cache = core.cache.forgotten(program),
            share = core.share.forgotten(program),
            lastServers = core.lastServers.remove(program),
        )
}

/** The next owner finds a running stream at its engine and goes on with it, so that it isn't cancelled there. */
private fun DispatchWork.leave(id: CallId) {
    val entry = core.calls[id] ?: return
    if (entry.phase == Phase.RUNNING) {
        put(entry.copy(moved = true))
    } else {
        refuse(entry, RefusalReason.NOT_OWNER, "the program moved to another node", MIN_RETRY_MILLIS)
    }
}
