package lavendertrail.gateway

import com.github.michaelbull.result.fold
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.json.put
import lavendertrail.serving.AbortResponse
import lavendertrail.serving.AnswerStarted
import lavendertrail.serving.AskQuota
import lavendertrail.serving.AttemptEnded
import lavendertrail.serving.AttemptOutcome
import lavendertrail.serving.BackendServer
import lavendertrail.serving.CancelAttempt
import lavendertrail.serving.CloseServerConnections
import lavendertrail.serving.LoadHistory
import lavendertrail.serving.LoadStreamOrigin
import lavendertrail.serving.LoadStreamPart
import lavendertrail.serving.Reject
import lavendertrail.serving.ReportCrashEvidence
import lavendertrail.serving.ReportLeavingServer
import lavendertrail.serving.ReportRequestLimit
import lavendertrail.serving.RequestKey
import lavendertrail.serving.RequestPermit
import lavendertrail.serving.ReserveTokens
import lavendertrail.serving.SendToServer
import lavendertrail.serving.ServerLeavingSeen
import lavendertrail.serving.ServingEffect
import lavendertrail.serving.ServingEvent
import lavendertrail.serving.SettleTokens

/** Executes the effects of the serving reducer and submits their results as events. */
internal class EffectRunner(
    private val protocol: GatewayProtocol,
    private val loop: EventLoop,
    private val pool: ServerPool,
    private val turnKeeper: TurnKeeper,
    private val turnEffects: TurnEffects,
    private val exchanges: Map<Long, Exchange>,
    private val log: StructuredLog,
    private val metrics: GatewayMetrics,
    private val submit: (ServingEvent) -> Unit,
    /** Why the request may not be written to the server at which it was placed; null if it may. */
    private val sendProblem: (RequestKey, BackendServer) -> String?,
    private val onFinished: (Exchange) -> Unit,
) {
    private val serverEffects = ServerEffects(pool, exchanges, log, metrics)
    private val streamForwarder =
        StreamForwarder(turnEffects, turnKeeper) { exchange, attempt, detail -> endBadAnswer(exchange, attempt, detail) }

    fun execute(effect: ServingEffect) {
        when (effect) {
            is LoadHistory -> turnEffects.loadHistory(effect)
            is LoadStreamOrigin -> turnEffects.loadStreamOrigin(effect)
            is LoadStreamPart -> turnEffects.loadStreamPart(effect)
            is ReserveTokens -> turnEffects.reserveTokens(effect)
            is SettleTokens -> turnEffects.settleTokens(effect)
            is SendToServer -> exchanges[effect.key]?.let { sendToServer(it, effect) }
            is CancelAttempt -> exchanges[effect.key]?.let { cancelAttempt(it) }
            is Reject -> exchanges[effect.key]?.let { reject(it, effect) }
            is AbortResponse -> exchanges[effect.key]?.let { abortResponse(it, effect.detail) }
            is AskQuota -> turnEffects.askQuota(effect)
            is RequestPermit -> turnEffects.requestPermit(effect)
            is ReportRequestLimit -> turnEffects.reportRequestLimit(effect)
            is ReportCrashEvidence -> turnEffects.reportCrashEvidence(effect)
            is ReportLeavingServer -> serverEffects.reportLeavingServer(effect)
            is CloseServerConnections -> serverEffects.closeServerConnections(effect)
        }
    }

    /** Releases the exchange of a caller that has closed the connection. */
    fun onCallerDisconnected(exchange: Exchange) {
        log.event("caller left") {
            put("request", exchange.request.attemptId)
            put("afterMillis", nowMillis() - exchange.arrivedMillis)
            put("events", exchange.forwardedEvents)
        }
        turnKeeper.storeAtEnd(exchange) {}
        loop.execute { onFinished(exchange) }
    }

    private fun sendToServer(
        exchange: Exchange,
        effect: SendToServer,
    ) {
        val attempt = ServerAttempt(effect, nowMillis(), continuesStream = exchange.isResponseStarted)
        exchange.currentAttempt = attempt
        exchange.recordSend(effect)
        effect.cause?.let { metrics.recordPlacement(it.reason) }
        pool.acquire(effect.server, exchange.request.attemptId) { result ->
            result.fold({ connection ->
                // The server's entry, or the caller's key, may have changed while the connection was opened.
                val problem = sendProblem(exchange.key, effect.server)
                when {
                    attempt.isCancelled -> connection.abandon()
                    problem != null -> {
                        connection.abandon()
                        endAttempt(exchange, attempt, AttemptOutcome.WITHDRAWN, problem)
                    }
                    else -> writeRequest(exchange, attempt, connection)
                }
            }, { error ->
                log.warn("server connection failed", error)
                if (!attempt.isCancelled) endAttempt(exchange, attempt, AttemptOutcome.UNREACHABLE, error.toString())
            })
        }
    }

    private fun writeRequest(
        exchange: Exchange,
        attempt: ServerAttempt,
        connection: ServerConnection,
    ) {
        attempt.connection = connection
        val body = exchange.requestBody()
        // The connection may have taken a while to open.
        val deadlineMillis = (attempt.effect.deadlineMillis - (nowMillis() - attempt.sentAtMillis)).coerceAtLeast(1)
        val headers = protocol.serverHeaders(exchange.head.headers(), attempt.effect.copy(deadlineMillis = deadlineMillis))
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING)
        if (body.isNotEmpty() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                exchange.head.method(),
                exchange.head.uri(),
                Unpooled.wrappedBuffer(body),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
            )
        connection.send(request, responseListener(exchange, attempt, connection), exchange.request.attemptId)
    }

    private fun responseListener(
        exchange: Exchange,
        attempt: ServerAttempt,
        connection: ServerConnection,
    ) = ResponseListener(
        onHead = { head -> onResponseHead(exchange, attempt, connection, head) },
        onContent = { bytes ->
            if (attempt.forwardsEvents(exchange)) {
                streamForwarder.forward(exchange, attempt, connection, bytes)
            } else {
                attempt.bufferedBody.writeBytes(bytes)
            }
        },
        onEnd = {
            // The connection may carry another request by now, which must not be cancelled with this one.
            attempt.connection = null
            // A rest of the stream may still arrive, and the same request may be sent to this server again.
            if (attempt.eventParser.hasPartialEvent) connection.abandon()
            if (connection.hasMixedIn(attempt.bufferedBody)) {
                connection.abandon()
                endBadAnswer(exchange, attempt, "the body holds a part of another answer")
            } else {
                onResponseEnd(exchange, attempt)
            }
        },
        onFailure = { reason -> endAttempt(exchange, attempt, AttemptOutcome.BROKEN, reason) },
        keptBytes = { attempt.keptBytes + exchange.output.sizeBytes },
    )

    private fun onResponseHead(
        exchange: Exchange,
        attempt: ServerAttempt,
        connection: ServerConnection,
        head: HttpResponse,
    ): Boolean {
        val responseHead = protocol.decodeResponseHead(head)
        val belongsToRequest = responseHead.attemptId == exchange.request.attemptId
        val isUnidentified = responseHead.attemptId == null && !connection.isReused
        if (!belongsToRequest && !isUnidentified) return false
        val problem = exchange.problemOfSuccess(head, responseHead)
        if (problem != null) {
            connection.abandon()
            endBadAnswer(exchange, attempt, problem)
            return false
        }
        connection.keepAliveMillis = responseHead.keepAliveMillis
        if (responseHead.isNotRun || responseHead.isWrongServer) connection.recordRefusal()
        if (responseHead.isWrongServer) connection.closeAfterResponse()
        // Another server's answer says nothing about the expected one.
        if (responseHead.isLeaving && !responseHead.isWrongServer) {
            connection.closeAfterResponse()
            submit(ServerLeavingSeen(exchange.key, attempt.effect.server))
        }
        attempt.response = head
        attempt.responseHead = responseHead
        // Only a head that a backend server marked says something about the server's load and limit.
        if (responseHead.hasServerMark && !responseHead.isNotRun && !responseHead.isWrongServer) {
            submit(AnswerStarted(exchange.key, responseHead.load, responseHead.requestsPerSecondLimit))
        }
        if (attempt.continuesStream && !responseHead.isNotRun && !responseHead.isWrongServer && !head.continuesStream()) {
            connection.abandon()
            endBadAnswer(exchange, attempt, "status ${head.status().code()} in place of the rest of the stream")
            return false
        }
        return true
    }

    private fun ServerAttempt.forwardsEvents(exchange: Exchange): Boolean {
        val status = response?.status()?.code()
        return status == STATUS_OK && effect.isStream && responseHead?.isNotRun == false && exchange.currentAttempt === this
    }

    private fun onResponseEnd(
        exchange: Exchange,
        attempt: ServerAttempt,
    ) {
        val responseHead = attempt.responseHead
        when {
            responseHead == null -> endAttempt(exchange, attempt, AttemptOutcome.BROKEN, "response ended without a head")
            responseHead.isWrongServer ->
                endAttempt(exchange, attempt, AttemptOutcome.WRONG_SERVER, "another server responded at the address")
            responseHead.isNotRun ->
                endAttempt(exchange, attempt, AttemptOutcome.NOT_RUN, "server refused with status ${attempt.response?.status()?.code()}")
            attempt.forwardsEvents(exchange) -> endStream(exchange, attempt)
            else -> respondInFull(exchange, attempt)
        }
    }

    private fun respondInFull(
        exchange: Exchange,
        attempt: ServerAttempt,
    ) {
        val head = attempt.response ?: return
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                head.status(),
                attempt.bufferedBody,
                endToEndHeaders(head.headers()),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
            )
        completeRequest(exchange, attempt, head.status().code()) { exchange.connection.respond(response) }
    }

    private fun endStream(
        exchange: Exchange,
        attempt: ServerAttempt,
    ) {
        if (attempt.eventParser.hasPartialEvent) {
            return endAttempt(exchange, attempt, AttemptOutcome.BROKEN, "stream ended within an event")
        }
        // Without a length or chunks, this may also be a server that went down before its first event.
        if (!exchange.isResponseStarted && attempt.response?.isFramed != true) {
            return endAttempt(exchange, attempt, AttemptOutcome.BROKEN, "stream ended before its first event")
        }
        if (attempt.continuesStream && !attempt.hasEvents && attempt.response?.statesEndOfStream() != true) {
            return endBadAnswer(exchange, attempt, "empty answer in place of the rest of the stream")
        }
        val retentionMillis = attempt.effect.turnRetentionMillis ?: return completeStream(exchange, attempt)
        turnKeeper.storeFinished(exchange, retentionMillis) { isStored ->
            when {
                attempt.isCancelled || exchange.currentAttempt !== attempt -> Unit
                isStored -> completeStream(exchange, attempt)
                else -> endAttempt(exchange, attempt, AttemptOutcome.NOT_KEPT, "fewer turn hosts stored the turn than copies are required")
            }
        }
    }

    private fun completeStream(
        exchange: Exchange,
        attempt: ServerAttempt,
    ) {
        // A stream without any event has no answer in progress.
        if (!exchange.isResponseStarted) return respondInFull(exchange, attempt)
        completeRequest(exchange, attempt, STATUS_OK) { exchange.connection.endResponse() }
    }

    /** Ends the attempt before the response is written, so that the state is up to date for the caller's next request. */
    private fun completeRequest(
        exchange: Exchange,
        attempt: ServerAttempt,
        status: Int,
        writeResponse: () -> Unit,
    ) {
        endAttempt(exchange, attempt, AttemptOutcome.ANSWERED, "")
        val millis = nowMillis() - exchange.arrivedMillis
        metrics.recordResponse(millis)
        log.event("request answered") {
            putRequest(exchange)
            put("status", status)
            put("millis", millis)
            exchange.firstEventAtMillis?.let { put("firstEventMillis", it - exchange.arrivedMillis) }
            put("events", exchange.forwardedEvents)
        }
        onFinished(exchange)
        writeResponse()
    }

    /** Ends an attempt whose answer can't be passed on, although the server has sent one. */
    private fun endBadAnswer(
        exchange: Exchange,
        attempt: ServerAttempt,
        detail: String,
    ) = endAttempt(exchange, attempt, AttemptOutcome.BROKEN, detail, isServerAlive = true)

    private fun endAttempt(
        exchange: Exchange,
        attempt: ServerAttempt,
        outcome: AttemptOutcome,
        detail: String,
        isServerAlive: Boolean = false,
    ) {
        if (exchange.currentAttempt !== attempt || attempt.isCancelled) return
        exchange.currentAttempt = null
        metrics.recordAttempt(outcome)
        if (outcome != AttemptOutcome.ANSWERED) {
            log.event("attempt failed") {
                putRequest(exchange)
                put("server", attempt.effect.server.id)
                put("outcome", outcome.name.lowercase())
                put("detail", detail)
                put("afterMillis", nowMillis() - attempt.sentAtMillis)
                if (outcome == AttemptOutcome.BROKEN) putIdentity(exchange)
            }
        }
        submit(
            AttemptEnded(
                key = exchange.key,
                outcome = outcome,
                load = attempt.responseHead?.load,
                lastEventId = exchange.lastEventId,
                isAnswerStarted = exchange.isResponseStarted,
                detail = detail,
                eventGapMillis = attempt.eventGapMillis,
                firstEventAtMillis = exchange.firstEventAtMillis,
                requestsPerSecondLimit = attempt.responseHead?.requestsPerSecondLimit,
                isServerAlive = isServerAlive,
            ),
        )
    }

    /** Closes the connection to the server, which makes the server cancel the request. */
    private fun cancelAttempt(exchange: Exchange) {
        val attempt = exchange.currentAttempt ?: return
        attempt.isCancelled = true
        exchange.currentAttempt = null
        attempt.connection?.abandon()
    }

    private fun reject(
        exchange: Exchange,
        effect: Reject,
    ) {
        // A response that has been started can't be replaced by another one.
        if (exchange.isResponseStarted) return abortResponse(exchange, effect.reason.name.lowercase())
        exchange.accountName = effect.accountName
        metrics.recordRejection(effect.reason)
        log.event("request rejected") {
            putRequest(exchange)
            put("reason", effect.reason.name.lowercase())
            put("notRun", effect.reason.isNotRun)
            effect.retryAfterMillis?.let { put("retryAfterMillis", it) }
            put("detail", effect.detail)
            put("millis", nowMillis() - exchange.arrivedMillis)
        }
        onFinished(exchange)
        exchange.connection.respond(protocol.rejection(exchange.request, effect))
    }

    private fun abortResponse(
        exchange: Exchange,
        detail: String,
    ) {
        log.event("answer broken off") {
            putRequest(exchange)
            put("detail", detail)
            put("events", exchange.forwardedEvents)
            put("millis", nowMillis() - exchange.arrivedMillis)
        }
        turnKeeper.storeAtEnd(exchange) {
            onFinished(exchange)
            exchange.connection.abort()
        }
    }

    private companion object {
        const val STATUS_OK = 200
    }
}
