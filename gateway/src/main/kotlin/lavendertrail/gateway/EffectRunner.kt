package lavendertrail.gateway

import com.github.michaelbull.result.fold
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import java.io.ByteArrayOutputStream
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import lavendertrail.serving.AbortResponse
import lavendertrail.serving.AnswerStarted
import lavendertrail.serving.AttemptEnded
import lavendertrail.serving.AttemptOutcome
import lavendertrail.serving.CancelAttempt
import lavendertrail.serving.CloseServerConnections
import lavendertrail.serving.HistoryLoaded
import lavendertrail.serving.LoadHistory
import lavendertrail.serving.Reject
import lavendertrail.serving.ReserveTokens
import lavendertrail.serving.SendToServer
import lavendertrail.serving.ServingEffect
import lavendertrail.serving.ServingEvent
import lavendertrail.serving.SettleTokens
import lavendertrail.serving.TokensReserved
import lavendertrail.turns.TurnClient
import lavendertrail.turns.TurnRecord
import lavendertrail.turns.UseRecord

/** Carries out the serving reducer's effects and reports what comes of them as events. */
internal class EffectRunner(
    private val settings: GatewaySettings,
    private val wire: GatewayProtocol,
    private val loop: EventLoop,
    private val pool: ServerPool,
    private val turns: TurnClient,
    private val exchanges: Map<Long, Exchange>,
    private val log: StructuredLog,
    private val metrics: GatewayMetrics,
    private val submit: (ServingEvent) -> Unit,
    private val finished: (Exchange) -> Unit,
) {
    fun carryOut(effect: ServingEffect) {
        when (effect) {
            is LoadHistory -> loadHistory(effect)
            is ReserveTokens -> reserve(effect)
            is SettleTokens -> settle(effect)
            is SendToServer -> exchanges[effect.key]?.let { send(it, effect) }
            is CancelAttempt -> exchanges[effect.key]?.let { giveUp(it) }
            is Reject -> exchanges[effect.key]?.let { reject(it, effect) }
            is AbortResponse -> exchanges[effect.key]?.let { breakOff(it, effect.detail) }
            is CloseServerConnections -> pool.forget(effect.id)
        }
    }

    /** Ends what is under way for a caller who has closed the connection. */
    fun callerLeft(exchange: Exchange) {
        log.event("caller left") {
            put("request", exchange.request.attemptId)
            put("afterMillis", nowMillis() - exchange.arrivedMillis)
            put("events", exchange.eventsPassed)
        }
        loop.execute { finished(exchange) }
    }

    private fun loadHistory(effect: LoadHistory) {
        val started = nowMillis()
        turns.load(effect.turnId, effect.programId, effect.timeoutMillis) { result, chain ->
            metrics.turnLookedUp(nowMillis() - started)
            exchanges[effect.key]?.history = chain
            // An answer from memory would otherwise be handled inside the step that asks for it.
            loop.execute { submit(HistoryLoaded(effect.key, result)) }
        }
    }

    private fun reserve(effect: ReserveTokens) {
        val use = UseRecord(effect.programId, effect.attemptId, effect.tokens, isSettled = false, useExpiry(), effect.sessionId)
        turns.reserve(use, effect.budgetTokens, effect.timeoutMillis) { result, recentServerId ->
            loop.execute { submit(TokensReserved(effect.key, result, recentServerId)) }
        }
    }

    private fun settle(effect: SettleTokens) {
        val events = exchanges[effect.key]?.eventsPassed ?: return
        val tokens = events * effect.tokensPerEvent
        turns.settle(
            UseRecord(effect.programId, effect.attemptId, tokens, isSettled = true, useExpiry(), effect.sessionId, effect.serverId),
        )
    }

    private fun useExpiry() = System.currentTimeMillis() + settings.budgetRetentionMillis

    private fun send(
        exchange: Exchange,
        effect: SendToServer,
    ) {
        val sending = Sending(effect, nowMillis())
        exchange.sending = sending
        exchange.sends++
        exchange.lastServerId = effect.server.id
        pool.acquire(effect.server) { result ->
            result.fold({ connection ->
                if (sending.isGivenUp) connection.abandon() else write(exchange, sending, connection)
            }, { error ->
                log.warn("server connection failed", error)
                if (!sending.isGivenUp) ended(exchange, sending, AttemptOutcome.UNREACHABLE, error.toString())
            })
        }
    }

    private fun write(
        exchange: Exchange,
        sending: Sending,
        connection: ServerConnection,
    ) {
        sending.connection = connection
        val body = exchange.serverBody()
        val headers = wire.serverHeaders(exchange.head.headers(), sending.effect)
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
        connection.send(request, listener(exchange, sending, connection))
    }

    private fun listener(
        exchange: Exchange,
        sending: Sending,
        connection: ServerConnection,
    ) = AnswerListener(
        onHead = { head -> readHead(exchange, sending, connection, head) },
        onContent = { bytes ->
            if (sending.isStream(exchange)) {
                sending.events.read(bytes).forEach { pass(exchange, sending, it) }
            } else {
                bytes.readBytes(sending.content, bytes.readableBytes())
            }
        },
        onEnd = { end(exchange, sending) },
        onFailure = { reason -> ended(exchange, sending, AttemptOutcome.BROKEN, reason) },
    )

    private fun readHead(
        exchange: Exchange,
        sending: Sending,
        connection: ServerConnection,
        head: HttpResponse,
    ): Boolean {
        val answer = wire.decodeResponseHead(head)
        if (answer.attemptId != null && answer.attemptId != exchange.request.attemptId) return false
        if (!answer.isSigned && head.status().codeClass() == HttpStatusClass.SUCCESS) {
            connection.abandon()
            ended(exchange, sending, AttemptOutcome.BROKEN, "success without the server's mark")
            return false
        }
        connection.keepAliveMillis = answer.keepAliveMillis
        sending.head = head
        sending.answer = answer
        if (!answer.isNotRun && !answer.isWrongServer) submit(AnswerStarted(exchange.key, answer.load))
        return true
    }

    private fun Sending.isStream(exchange: Exchange): Boolean {
        val status = head?.status()?.code()
        return status == STATUS_OK && effect.isStream && answer?.isNotRun == false && exchange.sending === this
    }

    private fun pass(
        exchange: Exchange,
        sending: Sending,
        event: StreamEvent,
    ) {
        if (!exchange.isAnswerStarted) {
            exchange.isAnswerStarted = true
            exchange.firstByteMillis = nowMillis()
            val head = sending.head ?: return
            exchange.connection.startAnswer(DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), callerHeaders(head.headers())))
        }
        sending.eventArrived(nowMillis())
        exchange.connection.passOn(event.bytes)
        exchange.lastEventId = event.id ?: exchange.lastEventId
        if (event.data != null) {
            exchange.eventsPassed++
            exchange.output.write(event.data.toByteArray())
            exchange.output.write(LINE_FEED)
        }
    }

    private fun end(
        exchange: Exchange,
        sending: Sending,
    ) {
        val answer = sending.answer
        when {
            answer == null -> ended(exchange, sending, AttemptOutcome.BROKEN, "answer without a head")
            answer.isWrongServer -> ended(exchange, sending, AttemptOutcome.WRONG_SERVER, "another server at the address")
            answer.isNotRun -> ended(exchange, sending, AttemptOutcome.NOT_RUN, "refused with ${sending.head?.status()?.code()}")
            sending.isStream(exchange) -> endStream(exchange, sending)
            else -> answerWhole(exchange, sending)
        }
    }

    private fun answerWhole(
        exchange: Exchange,
        sending: Sending,
    ) {
        val head = sending.head ?: return
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                head.status(),
                Unpooled.wrappedBuffer(sending.content.toByteArray()),
                callerHeaders(head.headers()),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
            )
        complete(exchange, sending, head.status().code()) { exchange.connection.answer(response) }
    }

    private fun endStream(
        exchange: Exchange,
        sending: Sending,
    ) {
        if (sending.events.hasPartialEvent) return ended(exchange, sending, AttemptOutcome.BROKEN, "stream ended within an event")
        if (!exchange.isAnswerStarted) return answerWhole(exchange, sending)
        val retentionMillis = sending.effect.turnRetentionMillis
        if (retentionMillis == null) return complete(exchange, sending, STATUS_OK) { exchange.connection.endAnswer() }
        val started = nowMillis()
        turns.save(exchange.turn(retentionMillis), SAVE_LIMIT_MILLIS) { isKept ->
            metrics.turnSaved(nowMillis() - started)
            when {
                sending.isGivenUp || exchange.sending !== sending -> Unit
                isKept -> complete(exchange, sending, STATUS_OK) { exchange.connection.endAnswer() }
                else -> ended(exchange, sending, AttemptOutcome.NOT_KEPT, "too few hosts with disks kept the turn")
            }
        }
    }

    /** Reports the end first, so that what the caller sends next finds the state up to date. */
    private fun complete(
        exchange: Exchange,
        sending: Sending,
        status: Int,
        write: () -> Unit,
    ) {
        ended(exchange, sending, AttemptOutcome.ANSWERED, "")
        val millis = nowMillis() - exchange.arrivedMillis
        metrics.answered(millis)
        log.event("request answered") {
            describe(exchange)
            put("status", status)
            put("millis", millis)
            exchange.firstByteMillis?.let { put("firstEventMillis", it - exchange.arrivedMillis) }
            put("events", exchange.eventsPassed)
        }
        finished(exchange)
        write()
    }

    private fun ended(
        exchange: Exchange,
        sending: Sending,
        outcome: AttemptOutcome,
        detail: String,
    ) {
        if (exchange.sending !== sending || sending.isGivenUp) return
        exchange.sending = null
        metrics.attemptEnded(outcome)
        if (outcome != AttemptOutcome.ANSWERED) {
            log.event("attempt failed") {
                describe(exchange)
                put("server", sending.effect.server.id)
                put("outcome", outcome.name.lowercase())
                put("detail", detail)
                put("afterMillis", nowMillis() - sending.sentAtMillis)
            }
        }
        val load = sending.answer?.load
        submit(AttemptEnded(exchange.key, outcome, load, exchange.lastEventId, exchange.isAnswerStarted, detail, sending.eventGapMillis))
    }

    /** Closes the server's connection, which stops its work on the request. */
    private fun giveUp(exchange: Exchange) {
        val sending = exchange.sending ?: return
        sending.isGivenUp = true
        exchange.sending = null
        sending.connection?.abandon()
    }

    private fun reject(
        exchange: Exchange,
        effect: Reject,
    ) {
        // A started answer can't become another one.
        if (exchange.isAnswerStarted) return breakOff(exchange, effect.reason.name.lowercase())
        metrics.rejected(effect.reason)
        log.event("request rejected") {
            describe(exchange)
            put("reason", effect.reason.name.lowercase())
            put("notRun", effect.reason.isNotRun)
            effect.retryAfterMillis?.let { put("retryAfterMillis", it) }
            put("detail", effect.detail)
            put("millis", nowMillis() - exchange.arrivedMillis)
        }
        finished(exchange)
        exchange.connection.answer(wire.rejection(exchange.request, effect))
    }

    private fun breakOff(
        exchange: Exchange,
        detail: String,
    ) {
        log.event("answer broken off") {
            describe(exchange)
            put("detail", detail)
            put("events", exchange.eventsPassed)
            put("millis", nowMillis() - exchange.arrivedMillis)
        }
        finished(exchange)
        exchange.connection.breakOff()
    }

    private fun JsonObjectBuilder.describe(exchange: Exchange) {
        put("request", exchange.request.attemptId)
        exchange.request.programId?.let { put("program", it) }
        put("path", exchange.request.path)
        put("sends", exchange.sends)
        exchange.lastServerId?.let { put("lastServer", it) }
    }

    private companion object {
        const val STATUS_OK = 200
        const val LINE_FEED = 10

        /** Longer than a disk that stalls may take while another host is asked instead, well below a caller's patience. */
        const val SAVE_LIMIT_MILLIS = 1_500L
    }
}

/** The history as the server is to receive it: each turn's input and output in order, then the new input. */
private fun Exchange.serverBody(): ByteArray {
    if (history.isEmpty()) return body
    val text = ByteArrayOutputStream(history.sumOf { it.sizeBytes } + body.size)
    for (turn in history) {
        text.write(turn.input)
        text.write(turn.output)
    }
    text.write(body)
    return text.toByteArray()
}

private fun Exchange.turn(retentionMillis: Long) =
    TurnRecord(
        id = request.attemptId,
        programId = request.programId.orEmpty(),
        previousId = request.previousTurnId,
        input = body,
        output = output.toByteArray(),
        expiresAtEpochMillis = System.currentTimeMillis() + retentionMillis,
    )

/** A server's headers without those that concern its connection only. */
private fun callerHeaders(headers: HttpHeaders): HttpHeaders {
    val copy = headers.copy()
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.forEach { copy.remove(it.trim()) }
    HOP_BY_HOP_HEADERS.forEach { copy.remove(it) }
    return copy
}

/** Headers that are not passed on, after RFC 9110, section 7.6.1; the length is set anew. */
public val HOP_BY_HOP_HEADERS: List<String> =
    listOf("connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length")
