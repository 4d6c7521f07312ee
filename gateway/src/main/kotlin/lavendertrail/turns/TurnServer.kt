package lavendertrail.turns

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import lavendertrail.gateway.nowMillis
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024
private const val KEEP_ALIVE_MILLIS = 10_000L
private const val KEEP_ALIVE_TIMEOUT_MILLIS = 2_000L

/** Serves [keeper] to other hosts on [address]. All handlers run on [loop], whose one thread is the keeper's. */
internal fun startTurnServer(
    keeper: TurnKeeper,
    address: InetSocketAddress,
    loop: EventLoopGroup,
): Server = startServer(definition(keeper), address, loop)

/** Serves [relay] to other entry hosts on [address]. All handlers run on [loop]. */
internal fun startRelayServer(
    relay: TurnRelay,
    address: InetSocketAddress,
    loop: EventLoopGroup,
): Server =
    startServer(
        ServerServiceDefinition
            .builder(TURN_SERVICE_NAME)
            .addMethod(TurnMethods.relay, answering(relay::pass))
            .build(),
        address,
        loop,
    )

private fun startServer(
    service: ServerServiceDefinition,
    address: InetSocketAddress,
    loop: EventLoopGroup,
): Server =
    NettyServerBuilder
        .forAddress(address)
        .bossEventLoopGroup(loop)
        .workerEventLoopGroup(loop)
        .channelType(NioServerSocketChannel::class.java)
        .directExecutor()
        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
        .keepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
        .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .permitKeepAliveTime(KEEP_ALIVE_MILLIS / 2, TimeUnit.MILLISECONDS)
        .permitKeepAliveWithoutCalls(true)
        .addService(service)
        .build()
        .start()

private fun definition(keeper: TurnKeeper): ServerServiceDefinition {
    val entryHosts = EntryHosts(::nowMillis)
    return ServerServiceDefinition
        .builder(TURN_SERVICE_NAME)
        .addMethod(TurnMethods.meet, answering { request, reply -> reply(MeetReply(entryHosts.meet(request.relayAddress))) })
        .addMethod(TurnMethods.keep, answering(keeper::keep))
        .addMethod(TurnMethods.chain, answering { request, reply -> reply(keeper.chain(request)) })
        .addMethod(TurnMethods.use, answering(keeper::use))
        .addMethod(TurnMethods.fetch, answering { request, reply -> reply(keeper.fetch(request)) })
        .addMethod(TurnMethods.offer, answering { request, reply -> keeper.adopt(request.records) { reply(KeepReply(it)) } })
        .addMethod(TurnMethods.copy, answering { request, reply -> reply(keeper.copy(request)) })
        .build()
}

private fun <Q : Any, R : Any> answering(handle: (Q, (R) -> Unit) -> Unit) =
    ServerCalls.asyncUnaryCall<Q, R> { request, observer ->
        handle(request) { reply ->
            observer.onNext(reply)
            observer.onCompleted()
        }
    }
