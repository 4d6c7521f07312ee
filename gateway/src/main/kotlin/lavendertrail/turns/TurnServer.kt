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

/** Serves [repository] to other hosts on [address]. All handlers run on [loop], whose single thread is that of the repository. */
internal fun startTurnServer(
    repository: TurnRepository,
    address: InetSocketAddress,
    loop: EventLoopGroup,
): Server = startServer(turnService(repository), address, loop)

/** Serves [relay] to other entry hosts on [address]. All handlers run on [loop]. */
internal fun startRelayServer(
    relay: TurnRelay,
    address: InetSocketAddress,
    loop: EventLoopGroup,
): Server =
    startServer(
        ServerServiceDefinition
            .builder(TURN_SERVICE_NAME)
            .addMethod(TurnMethods.relay, unaryHandler(relay::forward))
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

private fun turnService(repository: TurnRepository): ServerServiceDefinition {
    val entryHosts = EntryHosts(::nowMillis)
    return ServerServiceDefinition
        .builder(TURN_SERVICE_NAME)
        .addMethod(TurnMethods.meet, unaryHandler { request, reply -> reply(MeetReply(entryHosts.announce(request.relayAddress))) })
        .addMethod(TurnMethods.keep, unaryHandler(repository::storeTurn))
        .addMethod(TurnMethods.chain, unaryHandler { request, reply -> reply(repository.readChain(request)) })
        .addMethod(TurnMethods.use, unaryHandler(repository::storeUses))
        .addMethod(TurnMethods.fetch, unaryHandler { request, reply -> reply(repository.fetchTurns(request)) })
        .addMethod(TurnMethods.offer, unaryHandler { request, reply -> repository.importRecords(request.records) { reply(KeepReply(it)) } })
        .addMethod(TurnMethods.copy, unaryHandler { request, reply -> reply(repository.readCopyPage(request)) })
        .build()
}

private fun <Q : Any, R : Any> unaryHandler(handle: (Q, (R) -> Unit) -> Unit) =
    ServerCalls.asyncUnaryCall<Q, R> { request, observer ->
        handle(request) { reply ->
            observer.onNext(reply)
            observer.onCompleted()
        }
    }
