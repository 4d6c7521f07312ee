package lavendertrail.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import lavendertrail.model.StepError
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** The status and body of a call's answer. */
public class HttpReply(
    public val status: Int,
    public val body: String,
)

/**
 * Blocking calls to one address with JSON bodies, one at a time over a kept connection. A call without an answer in time
 * closes the connection, since nothing more arrives on one that has gone silent.
 */
public class BlockingHttpClient(
    group: EventLoopGroup,
    private val address: String,
    private val connectMillis: Int,
) : AutoCloseable {
    private val loop = group.next()
    private val connector = ServerConnector(loop, connectMillis)
    private var kept: ServerConnection? = null

    @Synchronized
    public fun call(
        method: String,
        target: String,
        body: String?,
        limitMillis: Long,
    ): Result<HttpReply, StepError> {
        val reply = CompletableFuture<Result<HttpReply, StepError>>()
        loop.execute { start(method, target, body, reply) }
        return try {
            reply.get(limitMillis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            loop.execute { drop() }
            Err(StepError("$method $target", address, "no answer within $limitMillis ms"))
        }
    }

    private fun start(
        method: String,
        target: String,
        body: String?,
        reply: CompletableFuture<Result<HttpReply, StepError>>,
    ) {
        val connection = kept?.takeIf { it.isUsable }
        if (connection != null) return send(connection, method, target, body, reply)
        drop()
        connector.connect(address, onIdle = {}) { result ->
            result.fold({
                kept = it
                if (reply.isDone) drop() else send(it, method, target, body, reply)
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
        val content = ByteArrayOutputStream()
        var status = 0
        connection.send(
            request,
            AnswerListener(
                onHead = { head ->
                    status = head.status().code()
                    true
                },
                onContent = { it.readBytes(content, it.readableBytes()) },
                onEnd = { reply.complete(Ok(HttpReply(status, content.toString(Charsets.UTF_8)))) },
                onFailure = { reply.complete(Err(StepError("$method $target", address, it))) },
            ),
        )
    }

    private fun drop() {
        kept?.abandon()
        kept = null
    }

    override fun close() {
        loop.execute { drop() }
    }
}
