package lavendertrail.dispatch

import lavendertrail.config.ModelRecord
import lavendertrail.config.ServerRecord
import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.ServerId
import lavendertrail.reducer.DispatchCall

/** A server that a call may be sent to. [hasRoom] is false where it takes no further call now, such as at its [limit]. */
internal class Candidate(
    val record: ServerRecord,
    val view: ServerView,
    val limit: Int,
    val hasRoom: Boolean,
)

/** Input of a placement decision. */
internal class PlacementQuery(
    val entry: CallEntry,
    val candidates: List<Candidate>,
    val cachedTokens: Map<ServerId, Int>,
    val knownTokens: (ServerId) -> Long,
    val model: ModelRecord?,
    val selfDomain: FailureDomain,
    val hint: CallHint?,
    val stickyServer: ServerId?,
    val sequence: Long,
    val nowMillis: Long,
    val settings: DispatchSettings,
    val random: () -> Double,
) {
    val call: DispatchCall get() = entry.call
    val staleMillis: Long get() = settings.staleLoadMillis
}

/** Age from which a load report no longer counts for calls of other nodes: three poll intervals. */
internal val DispatchSettings.staleLoadMillis: Long get() = 3 * loadPollMillis

// Time of the export and the import request that a cache transfer needs besides the copy itself.
private const val TRANSFER_OVERHEAD_MILLIS = 10.0

// Each further call in a batch slows the decoding of the others by about one percent.
private const val BATCH_SLOWDOWN_PER_CALL = 0.01

// Expected answer length without a hint. Answers of tool-calling agents are short compared with maxTokens.
private const val TYPICAL_ANSWER_TOKENS = 200

// Penalty for a server on which an earlier attempt of the call failed.
private const val SAME_SERVER_RETRY_PENALTY_MILLIS = 5_000.0
private const val DEFAULT_CALL_MILLIS = 500.0

internal fun estimatesOf(query: PlacementQuery): List<CandidateEstimate> = query.candidates.map { estimate(query, it) }

private fun estimate(
    query: PlacementQuery,
    candidate: Candidate,
): CandidateEstimate {
    val model = query.model
    val view = candidate.view
    val server = candidate.record.server
    val running = view.estimatedRunning(query.nowMillis, query.staleMillis)
    val cached = query.cachedTokens[server] ?: 0
    val transfer = if (model == null) null else transferTo(query, server, cached, model)
    val usable = transfer?.tokens ?: cached
    val aheadTokens = view.prefillTokensAhead(query.nowMillis, query.staleMillis)
    return CandidateEstimate(
        server = server,
        queueMillis =
            slotWaitMillis(candidate) + (model?.prefillMillis(aheadTokens) ?: (running * view.averageCallMillis / maxRunning(candidate))),
        prefillMillis = model?.prefillMillis(query.call.promptTokens - usable) ?: 0.0,
        transferMillis = transfer?.millis ?: 0.0,
        distanceMillis = if (candidate.record.failureDomain == query.selfDomain) 0.0 else 2.0 * query.settings.domainDistanceMillis,
        weightsMillis = weightLoadMillis(query, candidate),
        interferenceMillis =
            if (model == null) 0.0 else running * slowdownPerCallMillis(query, model) + evictionCostMillis(query, candidate, model),
        retryMillis = if (server in query.entry.triedServers) SAME_SERVER_RETRY_PENALTY_MILLIS else 0.0,
        cachedTokens = usable,
        runningCalls = running,
        limit = candidate.limit,
        hasRoom = candidate.hasRoom,
        transferFrom = transfer?.from,
    )
}

internal fun ModelRecord.prefillMillis(tokens: Int): Double = tokens.coerceAtLeast(0) * 1_000.0 / prefillTokensPerSecond

private fun maxRunning(candidate: Candidate): Int = candidate.record.maxRunningCalls.coerceAtLeast(1)

/** Expected wait for a slot at a full server, where one of n running calls ends about every average call duration / n. */
private fun slotWaitMillis(candidate: Candidate): Double {
    if (candidate.hasRoom) return 0.0
    val view = candidate.view
    val callMillis = if (view.averageCallMillis > 0) view.averageCallMillis else DEFAULT_CALL_MILLIS
    return callMillis / view.running.size.coerceAtLeast(1) * (1 + view.heldCalls.size)
}

private fun slowdownPerCallMillis(
    query: PlacementQuery,
    model: ModelRecord,
): Double {
    val tokens = query.hint?.generatedTokens ?: minOf(query.call.maxTokens, TYPICAL_ANSWER_TOKENS)
    return tokens * 1_000.0 / model.decodeTokensPerSecond * BATCH_SLOWDOWN_PER_CALL
}

/** Time to recompute the prefixes that this prompt would evict, halved because not all of them are used again. */
private fun evictionCostMillis(
    query: PlacementQuery,
    candidate: Candidate,
    model: ModelRecord,
): Double {
    val capacity = candidate.record.cacheCapacityTokens
    val server = candidate.record.server
    val added = query.call.promptTokens + query.call.maxTokens - (query.cachedTokens[server] ?: 0)
    if (capacity <= 0 || added <= 0) return 0.0
    val isFull = candidate.view.cacheFillPercent(candidate.record) >= query.settings.cachePressurePercent
    val excess = if (isFull) added.toLong() else (query.knownTokens(server) + added - capacity).coerceIn(0, added.toLong())
    return model.prefillMillis(excess.toInt()) / 2
}

private fun weightLoadMillis(
    query: PlacementQuery,
    candidate: Candidate,
): Double {
    val model = query.model ?: return 0.0
    return if (isLoaded(candidate.view, model.model)) 0.0 else model.weightBytes * 1_000.0 / query.settings.weightBytesPerSecond
}

/** Whether a server has loaded the model. A server that reports no models is assumed to have loaded those of its record. */
internal fun isLoaded(
    view: ServerView,
    model: ModelId,
): Boolean {
    val loaded = view.load?.loadedModels.orEmpty()
    return loaded.isEmpty() || model in loaded
}

private class Transfer(
    val from: ServerId,
    val tokens: Int,
    val millis: Double,
)

private fun transferTo(
    query: PlacementQuery,
    server: ServerId,
    cachedThere: Int,
    model: ModelRecord,
): Transfer? {
    val source =
        query.cachedTokens.entries
            .filter { it.key != server }
            .maxByOrNull { it.value } ?: return null
    val gained = source.value - cachedThere
    if (gained <= 0 || model.transferTokensPerSecond <= 0) return null
    val millis = source.value * 1_000.0 / model.transferTokensPerSecond + TRANSFER_OVERHEAD_MILLIS
    return if (millis < model.prefillMillis(gained)) Transfer(source.key, source.value, millis) else null
}
