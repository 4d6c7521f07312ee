package lavendertrail.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion

private const val MAX_REQUEST_BYTES = 8_192
private const val BACKLOG = 64

/** Content of the status server: readiness, `GET /metrics` and `GET /state`. */
public class StatusPages(
    public val isReady: () -> Boolean,
    public val metrics: () -> String,
    public val state: () -> String,
)

/** Serves [pages] on [address], with the readiness check at [readinessPath]. */
public fun startStatusServer(
    group: EventLoopGroup,
    address: String,
    readinessPath: String,
    pages: StatusPages,
) {
    ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(
                        HttpServerCodec(),
                        HttpObjectAggregator(MAX_REQUEST_BYTES),
                        StatusHandler(readinessPath, pages),
                    )
                }
            },
        ).bind(socketAddress(address))
        .sync()
}

private class StatusHandler(
    private val readinessPath: String,
    private val pages: StatusPages,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(
        ctx: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        val (status, text) =
            when (request.uri().substringBefore('?')) {
                readinessPath -> (if (pages.isReady()) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE) to ""
                "/metrics" -> HttpResponseStatus.OK to pages.metrics()
                "/state" -> HttpResponseStatus.OK to pages.state()
                else -> HttpResponseStatus.NOT_FOUND to ""
            }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, Charsets.UTF_8))
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        ctx.writeAndFlush(response)
    }

    @Deprecated("overrides a deprecated method of the library")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}
