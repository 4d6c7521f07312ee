package lavendertrail.gateway

import kotlinx.serialization.json.put
import lavendertrail.serving.CloseServerConnections
import lavendertrail.serving.ReportLeavingServer

/** Executes the effects of the serving reducer that concern servers that leave, and not a single request. */
internal class ServerEffects(
    private val pool: ServerPool,
    private val exchanges: Map<Long, Exchange>,
    private val log: StructuredLog,
    private val metrics: GatewayMetrics,
) {
    fun closeServerConnections(effect: CloseServerConnections) {
        pool.closeIdleConnections(effect.id)
        metrics.recordWithdrawnServer(effect.lastSentAfterMillis)
        log.event("server withdrawn") {
            put("server", effect.id)
            put("lastSentAfterMillis", effect.lastSentAfterMillis)
        }
    }

    fun reportLeavingServer(effect: ReportLeavingServer) {
        if (effect.isFirst) metrics.recordLeavingServer()
        log.event(if (effect.isFirst) "server leaves" else "entry of leaving server followed") {
            put("server", effect.serverId)
            effect.key?.let { key -> put("request", exchanges[key]?.request?.attemptId) }
            put("entryLagMillis", effect.entryLagMillis)
        }
    }
}
