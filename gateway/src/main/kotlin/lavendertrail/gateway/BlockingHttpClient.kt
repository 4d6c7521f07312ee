package lavendertrail.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.onSuccess
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import lavendertrail.model.StepError
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** The status and body of an HTTP response. */
public class HttpReply(
    public val status: Int,
    public val body: String,
)

/**
 * A blocking HTTP client for one address, with JSON bodies, that makes one call at a time over a persistent connection. A call
 * that times out closes the connection, since a connection that has lost its peer delivers no later response either. The next
 * call opens a new one.
 */
public class BlockingHttpClient(
    group: EventLoopGroup,
    private val address: String,
    private val connectTimeoutMillis: Int,
) : AutoCloseable {
    private val loop = group.next()
    private val connector = ServerConnector(loop, connectTimeoutMillis)

    /** Changed only on the event loop. */
    @Volatile
    private var connection: ServerConnection? = null

    /** Whether the next call uses a connection that an earlier call has opened. */
    public val isConnected: Boolean get() = connection != null

    @Synchronized
    public fun call(
        method: String,
        target: String,
        body: String?,
        timeoutMillis: Long,
    ): Result<HttpReply, StepError> {
        val reply = CompletableFuture<Result<HttpReply, StepError>>()
        loop.execute { startCall(method, target, body, reply) }
        return try {
            reply.get(timeoutMillis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            val timedOut = Err(StepError("$method $target", address, "no response within $timeoutMillis ms"))
            if (reply.complete(timedOut)) loop.execute { closeConnection() }
            reply.get()
        }
    }

    /**
     * Makes a call without a body that may be executed twice. A kept connection may have gone silent, so a call that fails on one
     * is repeated on a new connection.
     */
    @Synchronized
    public fun callRepeatable(
        method: String,
        target: String,
        timeoutMillis: Long,
        keptConnectionTimeoutMillis: Long,
    ): Result<HttpReply, StepError> {
        if (isConnected) call(method, target, null, keptConnectionTimeoutMillis).onSuccess { return Ok(it) }
        return call(method, target, null, timeoutMillis)
    }

    private fun startCall(
        method: String,
        target: String,
        body: String?,
        reply: CompletableFuture<Result<HttpReply, StepError>>,
    ) {
        val reusable = connection?.takeIf { it.isUsable }
        if (reusable != null) return send(reusable, method, target, body, reply)
        closeConnection()
        connector.connect(address, onReusable = {}) { result ->
            result.fold({ opened ->
                // The caller may have given up during the connect, and made its next call.
                if (reply.isDone) return@fold opened.abandon()
                connection = opened
                send(opened, method, target, body, reply)
            }, { reply.complete(Err(it)) })
        }
    }

    private fun send(
        connection: ServerConnection,
        method: String,
        target: String,
        body: String?,
        reply: CompletableFuture<Result<HttpReply, StepError>>,
    ) {
        val bytes = body?.toByteArray() ?: byteArrayOf()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, Unpooled.wrappedBuffer(bytes))
        request.headers().set(HttpHeaderNames.HOST, address)
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        val content = Unpooled.buffer()
        var status = 0
        connection.send(
            request,
            ResponseListener(
                onHead = { head ->
                    status = head.status().code()
                    true
                },
                onContent = { content.writeBytes(it) },
                onEnd = { reply.complete(Ok(HttpReply(status, content.toString(Charsets.UTF_8)))) },
                onFailure = { reply.complete(Err(StepError("$method $target", address, it))) },
                keptBytes = { content.capacity().toLong() },
            ),
        )
    }

    private fun closeConnection() {
        connection?.abandon()
        connection = null
    }

    override fun close() {
        loop.execute { closeConnection() }
    }
}
