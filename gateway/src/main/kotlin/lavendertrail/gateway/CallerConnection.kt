package lavendertrail.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import lavendertrail.serving.CallerLimits
import java.io.ByteArrayOutputStream

/**
 * The connection of one caller. Requests are read completely before they are handled, one at a time, in the order of arrival.
 *
 * Reading continues while a request is being handled, so that a disconnect of the caller is detected immediately.
 */
internal class CallerConnection(
    private val context: CallerConnectionContext,
) : ChannelInboundHandlerAdapter() {
    lateinit var channel: Channel
        private set
    private var head: HttpRequest? = null
    private var body = ByteArrayOutputStream()
    private val queuedRequests = ArrayDeque<ReadRequest>()
    private var currentRequest: HttpRequest? = null
    private var isClosing = false

    /** Whether the response in progress has neither a length nor chunks. */
    private var endsWithConnection = false
    private var lastActivityMillis = 0L

    /** Whether the caller reads fast enough; false while more than a few tens of kilobytes wait to be sent. */
    val isWritable: Boolean get() = channel.isWritable

    /** Whether bytes have arrived since the last complete request, which may be the start of a request's head. */
    private var hasPartialRequest = false

    /** When the head of the request that is being read may have arrived. */
    private var requestStartedMillis = 0L

    private class ReadRequest(
        val head: HttpRequest,
        val body: ByteArray,
        val startedMillis: Long,
    )

    /** Placed before the decoder, which reports a head only once it is complete. */
    val byteObserver: ChannelInboundHandlerAdapter =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(
                ctx: ChannelHandlerContext,
                message: Any,
            ) {
                hasPartialRequest = true
                ctx.fireChannelRead(message)
            }
        }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        lastActivityMillis = context.nowMillis()
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        context.onOpened(this)
        ctx.fireChannelActive()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpObject && !isClosing) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        lastActivityMillis = context.nowMillis()
        if (message.decoderResult().isFailure) return rejectAndClose(statusForDecodeFailure(message.decoderResult().cause()))
        if (message is HttpRequest) startRequest(message)
        if (message is HttpContent && head != null) appendBody(message)
    }

    private fun startRequest(request: HttpRequest) {
        head = request
        requestStartedMillis = context.arrivalMillis()
        body = ByteArrayOutputStream()
        if (HttpUtil.getContentLength(request, 0L) >
            context.limits().maxBodyBytes
        ) {
            return rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        if (HttpUtil.is100ContinueExpected(request) && currentRequest == null) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun appendBody(part: HttpContent) {
        part.content().readBytes(body, part.content().readableBytes())
        if (body.size() > context.limits().maxBodyBytes) return rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (part !is LastHttpContent) return
        hasPartialRequest = false
        queuedRequests.addLast(ReadRequest(head!!, body.toByteArray(), requestStartedMillis))
        head = null
        startNextRequest()
        // A caller that goes on sending would fill the memory of the process.
        if (queuedRequests.size >= MAX_QUEUED_REQUESTS) channel.config().isAutoRead = false
    }

    private fun startNextRequest() {
        if (currentRequest != null) return
        if (queuedRequests.size == MAX_QUEUED_REQUESTS) channel.config().isAutoRead = true
        val request = queuedRequests.removeFirstOrNull() ?: return
        currentRequest = request.head
        context.onRequest(this, request.head, request.body, request.startedMillis)
    }

    /** Rejects an invalid request and closes the connection, since the start of the next request is unknown. */
    private fun rejectAndClose(status: HttpResponseStatus) {
        head = null
        isClosing = true
        if (currentRequest != null) {
            channel.close()
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener { channel.close() }
    }

    private fun statusForDecodeFailure(cause: Throwable): HttpResponseStatus =
        if (cause is TooLongFrameException) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST

    /** Writes a complete response to the current request. */
    fun respond(response: FullHttpResponse) {
        if (currentRequest?.method() == HttpMethod.HEAD) {
            response.content().clear()
        } else {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        }
        val closesConnection = setConnectionHeader(response)
        channel.writeAndFlush(response)
        finishResponse(closesConnection)
    }

    /** Writes the head of a response of unknown length. */
    fun startResponse(response: HttpResponse) {
        // HTTP/1.0 has no chunks: the response ends with the connection.
        endsWithConnection = currentRequest?.protocolVersion() == HttpVersion.HTTP_1_0
        isClosing = isClosing || endsWithConnection
        HttpUtil.setTransferEncodingChunked(response, !endsWithConnection)
        setConnectionHeader(response)
        channel.write(response)
    }

    /** Writes a part of the response, which is sent with the next [flush]. */
    fun writeChunk(bytes: ByteArray) {
        channel.write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    fun flush() {
        channel.flush()
    }

    fun endResponse() {
        channel.writeAndFlush(DefaultLastHttpContent())
        finishResponse(isClosing)
    }

    /** Closes the connection, so that the caller sees a truncated response. */
    fun abort() {
        isClosing = true
        // Without chunks, only a reset shows that the response is incomplete.
        if (endsWithConnection) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private fun setConnectionHeader(response: HttpResponse): Boolean {
        val request = currentRequest
        // Requests that have been read are handled before the connection is closed.
        val closesAfterResponse = context.shouldCloseConnections() && queuedRequests.isEmpty()
        isClosing = isClosing || closesAfterResponse || request == null || !HttpUtil.isKeepAlive(request)
        if (isClosing) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return isClosing
    }

    private fun finishResponse(closesConnection: Boolean) {
        currentRequest = null
        lastActivityMillis = context.nowMillis()
        if (closesConnection) channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { channel.close() } else startNextRequest()
    }

    /** Closes the connection if it has been idle, or a request has been incomplete, for longer than the limits allow. */
    fun closeIfTimedOut(nowMillis: Long) {
        if (currentRequest != null || isClosing) return
        val limits = context.limits()
        val idleMillis = nowMillis - lastActivityMillis
        if (head != null && idleMillis > limits.headerTimeoutMillis) rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT)
        if (head == null && idleMillis > limits.idleTimeoutMillis) closeWithoutRequest()
    }

    /** Closes the connection if no request is being handled or has been started by the caller. */
    fun closeIfIdle() {
        if (!hasPartialRequest) closeWithoutRequest()
    }

    private fun closeWithoutRequest() {
        if (currentRequest == null && head == null && !isClosing) {
            isClosing = true
            channel.close()
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (channel.isWritable) context.onWritable(this)
        ctx.fireChannelWritabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        context.onClosed(this)
    }

    @Deprecated("overrides a deprecated method of the library")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.onFailure(this, cause)
        ctx.close()
    }

    private companion object {
        /** Pipelined requests of one caller that wait for the one in progress. */
        const val MAX_QUEUED_REQUESTS = 8
    }
}

/** The functions of the gateway that a [CallerConnection] calls. */
internal class CallerConnectionContext(
    val nowMillis: () -> Long,
    /** When the bytes that are being read may have arrived. */
    val arrivalMillis: () -> Long,
    val limits: () -> CallerLimits,
    /** Whether responses close their connection, so that the caller reconnects and the platform selects a ready process. */
    val shouldCloseConnections: () -> Boolean,
    val onOpened: (CallerConnection) -> Unit,
    /** Called with the head and the body of a request and the time at which its head had arrived. */
    val onRequest: (CallerConnection, HttpRequest, ByteArray, Long) -> Unit,
    /** Called when the caller has read enough that more can be written. */
    val onWritable: (CallerConnection) -> Unit,
    val onClosed: (CallerConnection) -> Unit,
    val onFailure: (CallerConnection, Throwable) -> Unit,
)
