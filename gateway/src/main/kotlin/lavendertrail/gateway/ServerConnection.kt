package lavendertrail.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * An HTTP/1.1 client connection to a server, with one request at a time.
 *
 * Data that arrives while no request is in flight closes the connection, since it can't be attributed to a request. A response
 * that is delimited by the end of the connection is complete only if the connection was closed normally, not reset. A faulty
 * server may go on sending until the connection is closed, so the bytes and heads that are read for one request are limited, and
 * a budget limits what is kept of all responses together.
 */
internal class ServerConnection(
    private val budget: ReceiveBudget,
    private val onReusable: (ServerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    lateinit var channel: Channel
        private set
    var idleSinceMillis = 0L
    var keepAliveMillis: Long? = null

    /** The attempt id of the latest request. A second copy of its response may still arrive. */
    private var lastAttemptId: String? = null

    private val carriedAttempts = CarriedAttempts()

    /** Whether bytes followed the latest answer at once, so that its end may be in the wrong place. */
    private var hasSurplus = false

    /** The ids of requests that were refused here, and may be sent again. */
    private val refusedAttemptIds = HashSet<String>()

    /** Whether an earlier request was sent, a surplus response to which may arrive in place of the expected one. */
    var isReused = false
        private set
    private var listener: ResponseListener? = null
        set(value) {
            field = value
            if (value == null) budget.release(this)
        }
    private var isSkippingResponse = false
    private var isInformational = false
    private var closesAfterResponse = false
    private var hasSkippedResponse = false
    private var hasAnswerBegun = false
    private var receivedBytes = 0L
    private var receivedHeads = 0
    val decoder = ServerResponseDecoder()

    /** Placed before the decoder, which keeps bytes that are no complete head and would read them as part of the next response. */
    val idleGuard: ChannelInboundHandlerAdapter =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(
                ctx: ChannelHandlerContext,
                message: Any,
            ) {
                if (listener != null) {
                    ctx.fireChannelRead(message)
                } else {
                    ReferenceCountUtil.release(message)
                    ctx.close()
                }
            }
        }

    val isUsable: Boolean get() = channel.isActive && listener == null && !closesAfterResponse

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    fun send(
        request: DefaultFullHttpRequest,
        listener: ResponseListener,
        attemptId: String? = null,
    ) {
        this.listener = listener
        isReused = lastAttemptId != null
        attemptId?.let { carriedAttempts.add(it) }
        lastAttemptId = attemptId
        hasSurplus = false
        hasAnswerBegun = false
        receivedBytes = 0
        receivedHeads = 0
        decoder.requestMethod = request.method()
        channel.writeAndFlush(request).addListener { written ->
            if (!written.isSuccess) fail("write failed: ${written.cause()}")
        }
    }

    /** Whether a copy of a response to an earlier request with [attemptId] may still arrive. */
    fun hasCarried(attemptId: String): Boolean = attemptId == lastAttemptId || attemptId in refusedAttemptIds

    /** Whether [bytes] of the latest answer hold a part of a second answer to this or an earlier request. */
    fun hasMixedIn(bytes: ByteBuf): Boolean = carriedAttempts.hasAnswerIn(bytes, hasSurplus)

    /** Records that the server has refused the latest request. */
    fun recordRefusal() {
        lastAttemptId?.let { refusedAttemptIds += it }
        if (refusedAttemptIds.size >= MAX_REFUSALS) closesAfterResponse = true
    }

    /** Stops or resumes reading, so that a server doesn't send faster than the caller reads. */
    fun setReading(isReading: Boolean) {
        channel.config().isAutoRead = isReading
    }

    /** Closes the connection once the response has ended. */
    fun closeAfterResponse() {
        closesAfterResponse = true
    }

    /**
     * Closes the connection without notifying the listener; the server sees the connection close. It is reset if the answer to a
     * request hasn't begun: after an orderly close, the system would go on delivering the request, which may take seconds once a path
     * has been cut or while the server doesn't read.
     */
    fun abandon() {
        if (listener != null && !hasAnswerBegun) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        listener = null
        channel.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (listener == null || message !is HttpObject) {
                ctx.close()
            } else if (message.decoderResult().isFailure) {
                fail("malformed response: ${message.decoderResult().cause()}")
            } else {
                read(message)
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        if (message is HttpResponse) {
            if (++receivedHeads > MAX_RECEIVED_HEADS) return fail("more than $MAX_RECEIVED_HEADS response heads")
            readHead(message)
        }
        if (message is HttpContent) {
            receivedBytes += message.content().readableBytes()
            if (receivedBytes > MAX_RECEIVED_BYTES) return fail("response exceeds $MAX_RECEIVED_BYTES bytes")
            if (!isInformational && !isSkippingResponse) readContent(message.content())
            if (message is LastHttpContent) endResponse()
        }
    }

    private fun readHead(response: HttpResponse) {
        response.headProblem()?.let { return fail("malformed response: $it") }
        isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        if (isInformational) return
        hasAnswerBegun = true
        isSkippingResponse = listener?.onHead?.invoke(response) == false
        hasSkippedResponse = hasSkippedResponse || isSkippingResponse
        val closes = response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)
        closesAfterResponse = closesAfterResponse || closes || response.protocolVersion() == HttpVersion.HTTP_1_0
    }

    private fun readContent(bytes: ByteBuf) {
        if (!bytes.isReadable) return
        listener?.onContent?.invoke(bytes)
        listener?.let { budget.record(this, it.keptBytes()) }
    }

    private fun endResponse() {
        if (isInformational || isSkippingResponse) {
            isInformational = false
            isSkippingResponse = false
            return
        }
        val ended = listener ?: return
        listener = null
        setReading(true)
        hasSurplus = decoder.hasUndecodedBytes
        // After a surplus response, the order of responses on this connection can't be trusted.
        if (closesAfterResponse || hasSkippedResponse || hasSurplus) channel.close() else onReusable(this)
        ended.onEnd()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail("connection closed by the server")
    }

    @Deprecated("overrides a deprecated method of the library")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        fail("connection failed: $cause")
        ctx.close()
    }

    /** Ends the response that is being read as failed, and closes the connection. */
    fun fail(reason: String) {
        val failed = listener ?: return
        listener = null
        channel.close()
        failed.onFailure(reason)
    }

    private companion object {
        /** Many times the size of a valid response, and a small part of the heap of an entry host. */
        const val MAX_RECEIVED_BYTES = 8_000_000L

        /** Informational and surplus responses before the final one; a few are valid. */
        const val MAX_RECEIVED_HEADS = 32

        /** Bounds the memory of connections that are kept for long. */
        const val MAX_REFUSALS = 100
    }
}
