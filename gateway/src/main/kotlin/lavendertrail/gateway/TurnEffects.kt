package lavendertrail.gateway

import io.netty.channel.EventLoop
import kotlinx.serialization.json.put
import lavendertrail.serving.AskQuota
import lavendertrail.serving.HistoryLoaded
import lavendertrail.serving.LoadHistory
import lavendertrail.serving.LoadStreamOrigin
import lavendertrail.serving.LoadStreamPart
import lavendertrail.serving.OriginLease
import lavendertrail.serving.PermitDecided
import lavendertrail.serving.QuotaDecided
import lavendertrail.serving.ReportCrashEvidence
import lavendertrail.serving.ReportRequestLimit
import lavendertrail.serving.RequestPermit
import lavendertrail.serving.ReserveTokens
import lavendertrail.serving.ServingEvent
import lavendertrail.serving.SettleTokens
import lavendertrail.serving.StatedLimit
import lavendertrail.serving.StreamOrigin
import lavendertrail.serving.StreamOriginLoaded
import lavendertrail.serving.StreamPartLoaded
import lavendertrail.serving.TokensReserved
import lavendertrail.turns.OriginRecord
import lavendertrail.turns.TurnClient
import lavendertrail.turns.UseRecord
import lavendertrail.turns.askQuota
import lavendertrail.turns.loadChain
import lavendertrail.turns.loadOrigin
import lavendertrail.turns.reportCrashEvidence
import lavendertrail.turns.reportLimit
import lavendertrail.turns.requestPermit
import lavendertrail.turns.storeOrigin

/** Executes the effects of the serving reducer that call turn hosts, and submits their results as events. */
internal class TurnEffects(
    private val loop: EventLoop,
    private val turnClient: TurnClient,
    private val turnKeeper: TurnKeeper,
    private val exchanges: Map<Long, Exchange>,
    private val log: StructuredLog,
    private val metrics: GatewayMetrics,
    private val submit: (ServingEvent) -> Unit,
) {
    fun loadHistory(effect: LoadHistory) {
        val startedMillis = nowMillis()
        turnClient.loadChain(effect.turnId, effect.programId, effect.timeoutMillis) { result, chain ->
            metrics.recordTurnLookup(nowMillis() - startedMillis)
            exchanges[effect.key]?.history = chain
            // A result from the cache would otherwise be handled within the reducer step that requested it.
            loop.execute { submit(HistoryLoaded(effect.key, result)) }
        }
    }

    fun loadStreamOrigin(effect: LoadStreamOrigin) {
        turnClient.loadOrigin(effect.attemptId, effect.timeoutMillis) { origin, isCertain ->
            loop.execute { submit(StreamOriginLoaded(effect.key, origin, isCertain)) }
        }
    }

    fun loadStreamPart(effect: LoadStreamPart) {
        val exchange = exchanges[effect.key] ?: return
        turnKeeper.loadEarlierPart(exchange, effect) { result -> loop.execute { submit(StreamPartLoaded(effect.key, result)) } }
    }

    /** Stores which servers have sent the events of the stream to the caller. */
    fun storeStreamOrigin(
        origin: StreamOrigin,
        lease: OriginLease,
        onDone: (isStored: Boolean) -> Unit,
    ) {
        turnClient.storeOrigin(OriginRecord(lease.attemptId, origin, System.currentTimeMillis() + lease.retentionMillis), onDone)
    }

    fun reserveTokens(effect: ReserveTokens) {
        val use =
            UseRecord(
                effect.programId,
                effect.attemptId,
                effect.tokens,
                isSettled = false,
                expiry(effect.retentionMillis),
                effect.sessionId,
            )
        turnClient.reserve(use, effect.budgetTokens, effect.timeoutMillis) { result, recentServerId ->
            loop.execute { submit(TokensReserved(effect.key, result, recentServerId)) }
        }
    }

    fun settleTokens(effect: SettleTokens) {
        val events = exchanges[effect.key]?.forwardedEvents ?: return
        val tokens = events * effect.tokensPerEvent
        val expiresAtEpochMillis = expiry(effect.retentionMillis)
        turnClient.settle(
            UseRecord(
                effect.programId,
                effect.attemptId,
                tokens,
                isSettled = true,
                expiresAtEpochMillis,
                effect.sessionId,
                effect.serverId,
            ),
        )
    }

    private fun expiry(retentionMillis: Long) = System.currentTimeMillis() + retentionMillis

    fun askQuota(effect: AskQuota) {
        turnClient.askQuota(effect.question) { reply ->
            metrics.recordQuota(reply?.decision)
            val decided = QuotaDecided(effect.key, effect.question.accountName, reply?.decision, reply?.entryHostCount)
            loop.execute { submit(decided) }
        }
    }

    fun requestPermit(effect: RequestPermit) {
        turnClient.requestPermit(effect.candidates, effect.maxWaitMillis) { asked, reply ->
            metrics.recordPermit(reply?.decision)
            val decided = PermitDecided(effect.key, asked, effect.maxWaitMillis, reply?.decision, reply?.entryHostCount)
            loop.execute { submit(decided) }
        }
    }

    fun reportRequestLimit(effect: ReportRequestLimit) {
        val rate = effect.requestsPerSecond
        turnClient.reportLimit(StatedLimit(effect.serverId, rate))
        if (!effect.isChanged) return
        log.event(if (rate == null) "server limit ended" else "server limit stated") {
            put("server", effect.serverId)
            rate?.let { put("requestsPerSecond", it) }
        }
    }

    fun reportCrashEvidence(effect: ReportCrashEvidence) {
        turnClient.reportCrashEvidence(effect.evidence, effect.address)
        for (evidence in effect.evidence) {
            log.event("crash evidence") {
                put("kind", evidence.kind.name.lowercase())
                put("fingerprint", evidence.fingerprint)
                put("request", evidence.attemptId)
                put("server", evidence.serverId)
                put("endedMillisAgo", evidence.endedMillisAgo)
                effect.address?.let { put("repeatedTo", it) }
            }
        }
    }
}
