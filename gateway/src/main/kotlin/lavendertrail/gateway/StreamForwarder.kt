package lavendertrail.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpVersion
import lavendertrail.serving.OriginLease
import lavendertrail.serving.streamOrigin

/**
 * Passes the events of a server's stream on to the caller as they arrive, whole events only. An event that can't belong to the stream
 * ends the attempt, which is reported to [onBroken].
 */
internal class StreamForwarder(
    private val turnEffects: TurnEffects,
    private val turnKeeper: TurnKeeper,
    private val onBroken: (Exchange, ServerAttempt, detail: String) -> Unit,
) {
    fun forward(
        exchange: Exchange,
        attempt: ServerAttempt,
        connection: ServerConnection,
        bytes: ByteBuf,
    ) {
        var problem: String? = null
        for (event in attempt.eventParser.parse(bytes)) {
            problem = findProblem(exchange, attempt, connection, event)
            if (problem != null) break
            forwardEvent(exchange, attempt, event)
        }
        exchange.connection.flush()
        if (problem == null) return connection.setReading(exchange.connection.isWritable)
        connection.abandon()
        onBroken(exchange, attempt, problem)
    }

    private fun findProblem(
        exchange: Exchange,
        attempt: ServerAttempt,
        connection: ServerConnection,
        event: StreamEvent,
    ): String? {
        val mustFollow = attempt.continuesStream || exchange.hasEarlierPart
        return when {
            mustFollow && !event.follows(exchange.lastEventId) -> "event ${event.id} after event ${exchange.lastEventId}"
            connection.hasMixedIn(Unpooled.wrappedBuffer(event.bytes)) -> "an event holds a part of another answer"
            else -> null
        }
    }

    private fun forwardEvent(
        exchange: Exchange,
        attempt: ServerAttempt,
        event: StreamEvent,
    ) {
        if (!exchange.isResponseStarted) {
            exchange.isResponseStarted = true
            exchange.firstEventAtMillis = nowMillis()
            val head = attempt.response ?: return
            exchange.connection.startResponse(DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), endToEndHeaders(head.headers())))
        }
        attempt.recordEvent(nowMillis())
        exchange.connection.writeChunk(event.bytes)
        exchange.lastEventId = event.id ?: exchange.lastEventId
        if (event.data != null) exchange.forwardedEvents++
        if (attempt.effect.turnRetentionMillis != null) exchange.output.add(event)
        attempt.effect.originLease?.let { keepOrigin(exchange, attempt, it) }
    }

    /**
     * Stores the origin of the stream with its first event, and again once half of the time has passed for which it is kept. An origin
     * that could not be stored is stored with a later event, so that an outage of the turn hosts leaves no stream without one. The part
     * of a turn that its caller has from earlier attempts is stored again with it, so that both are kept for the same time.
     */
    private fun keepOrigin(
        exchange: Exchange,
        attempt: ServerAttempt,
        lease: OriginLease,
    ) {
        if (nowMillis() < exchange.storeOriginAtMillis) return
        exchange.storeOriginAtMillis = nowMillis() + lease.retentionMillis / 2
        if (exchange.hasEarlierPart) turnKeeper.storeUnfinished(exchange)
        turnEffects.storeStreamOrigin(attempt.effect.server.streamOrigin, lease) { isStored ->
            if (!isStored) exchange.storeOriginAtMillis = nowMillis() + ORIGIN_RETRY_MILLIS
        }
    }

    private companion object {
        /** About the time in which a lost turn host is known as lost. */
        const val ORIGIN_RETRY_MILLIS = 1_000L
    }
}
