package lavendertrail.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import jdk.net.ExtendedSocketOptions
import lavendertrail.model.StepError
import java.net.InetSocketAddress

/** TCP keep-alive detects dead connections: after two seconds without traffic, two probes are sent one second apart. */
internal const val TCP_KEEP_ALIVE_IDLE_SECONDS = 2
internal const val TCP_KEEP_ALIVE_INTERVAL_SECONDS = 1
internal const val TCP_KEEP_ALIVE_PROBES = 2

/** Opens HTTP/1.1 connections to servers. A connection calls `onReusable` when it can take the next request. */
internal class ServerConnector(
    private val loop: EventLoop,
    private val connectTimeoutMillis: Int,
    private val budget: ReceiveBudget = ReceiveBudget(defaultReceiveBudgetBytes()),
) {
    fun connect(
        address: String,
        onReusable: (ServerConnection) -> Unit,
        onResult: (Result<ServerConnection, StepError>) -> Unit,
    ) {
        val connection = ServerConnection(budget, onReusable)
        val future: ChannelFuture =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), TCP_KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), TCP_KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), TCP_KEEP_ALIVE_PROBES)
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.pipeline().addLast(HttpRequestEncoder(), connection.idleGuard, connection.decoder, connection)
                        }
                    },
                ).connect(socketAddress(address))
        future.addListener { connected ->
            onResult(if (connected.isSuccess) Ok(connection) else Err(StepError("connect", address, connected.cause().toString())))
        }
    }
}

/** Parses an address such as `10.1.4.7:7400`. */
public fun socketAddress(address: String): InetSocketAddress =
    InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())

/** Whether [text] is an IPv4 address with a port to which a connection can be opened. */
public fun isSocketAddress(text: String): Boolean {
    val parts =
        SOCKET_ADDRESS
            .matchEntire(text)
            ?.groupValues
            ?.drop(1)
            ?.map { it.toInt() } ?: return false
    return parts.dropLast(1).all { it <= MAX_OCTET } && parts.last() in 1..MAX_PORT
}

private val SOCKET_ADDRESS = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
private const val MAX_OCTET = 255
private const val MAX_PORT = 65_535
