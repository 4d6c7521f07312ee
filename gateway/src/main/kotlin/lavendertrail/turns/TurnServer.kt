package lavendertrail.turns

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.ServerCalls
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import lavendertrail.gateway.nowMillis
import java.net.InetSocketAddress
import java.util.UUID
import java.util.concurrent.TimeUnit

private const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024
private const val KEEP_ALIVE_MILLIS = 10_000L
private const val KEEP_ALIVE_TIMEOUT_MILLIS = 2_000L

/**
 * Serves [repository] to other hosts on [address]. All handlers run on [loop], whose single thread is that of the repository.
 * [onListState] gets the lists that other turn hosts announce, and returns what this host knows.
 */
internal fun startTurnServer(
    repository: TurnRepository,
    knownHosts: KnownHosts,
    onListState: (ListStateRequest) -> ListStateReply,
    crashNoticeFile: CrashNoticeFile,
    quotaHolder: QuotaHolder,
    permits: RequestPermits,
    address: InetSocketAddress,
    loop: EventLoopGroup,
): Server {
    val sessions = OpenSessions()
    val crashNotices = CrashNotices(sessions, crashNoticeFile, ::nowMillis)
    val entryHosts = EntryHosts(::nowMillis)
    val quotas =
        callHandler(TurnMethods.quota) { request, reply ->
            reply(quotaHolder.decide(request, knownHosts.listing, entryHosts.count()))
        }
    val handlers = turnHandlers(repository, onListState, crashNotices, entryHosts, permits) + quotas
    return startCallServer(handlers, address, loop, ListFence(FENCED_METHODS) { knownHosts.listing }, sessions)
}

/** Serves [relay] to other entry hosts on [address]. All handlers run on [loop]. */
internal fun startRelayServer(
    relay: TurnRelay,
    address: InetSocketAddress,
    loop: EventLoopGroup,
): Server = startCallServer(mapOf(callHandler(TurnMethods.relay, relay::forward)), address, loop)

/** Serves calls with [handlers], by bare method name, on [address]. */
internal fun startCallServer(
    handlers: Map<String, CallHandler>,
    address: InetSocketAddress,
    loop: EventLoopGroup,
    fence: ListFence = ListFence.NONE,
    sessions: OpenSessions = OpenSessions(),
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
        .addService(sessionService(handlers, fence, sessions))
        .build()
        .start()

private fun sessionService(
    handlers: Map<String, CallHandler>,
    fence: ListFence,
    sessions: OpenSessions,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder(TURN_SERVICE_NAME)
        .addMethod(
            TurnMethods.session,
            ServerCalls.asyncBidiStreamingCall { ServedSession(handlers, fence, sessions, it as ServerCallStreamObserver<CallFrame>) },
        ).build()

/**
 * Calls whose quorums, copies or holders depend on the list of turn hosts. The others don't: meetings, reports and notices go to all
 * hosts, a fetch or a copy asks one host what it has, and the calls by which lists are announced and records repaired bring hosts up
 * to date. A relayed call is fenced by the host that it is for.
 */
private val FENCED_METHODS =
    listOf(
        TurnMethods.keep,
        TurnMethods.chain,
        TurnMethods.use,
        TurnMethods.quota,
        TurnMethods.permit,
        TurnMethods.keepOrigin,
        TurnMethods.findOrigin,
        TurnMethods.keepUnfinished,
        TurnMethods.findStreamTurns,
    ).mapTo(mutableSetOf()) { it.bareMethodName.orEmpty() }

/** The handlers of all calls that need no list of turn hosts. */
internal fun turnHandlers(
    repository: TurnRepository,
    onListState: (ListStateRequest) -> ListStateReply,
    crashNotices: CrashNotices,
    entryHosts: EntryHosts,
    permits: RequestPermits = RequestPermits(::nowMillis),
): Map<String, CallHandler> {
    val runId = UUID.randomUUID().toString()
    return mapOf(
        callHandler(TurnMethods.meet) { request, reply ->
            reply(MeetReply(entryHosts.announce(request.relayAddress), crashNotices.missedBy(request), runId))
        },
        callHandler(TurnMethods.keep, repository::storeTurn),
        callHandler(TurnMethods.chain) { request, reply -> reply(repository.readChain(request)) },
        callHandler(TurnMethods.use) { request, reply ->
            repository.storeUses(request) { reply(if (request.reservation == null) it else it.copy(requestLimits = permits.limits)) }
        },
        callHandler(TurnMethods.keepOrigin, repository::storeOrigin),
        callHandler(TurnMethods.findOrigin) { request, reply -> reply(repository.findOrigin(request)) },
        callHandler(TurnMethods.keepUnfinished, repository::storeUnfinishedTurn),
        callHandler(TurnMethods.findStreamTurns) { request, reply -> reply(repository.findStreamTurns(request)) },
        callHandler(TurnMethods.permit) { request, reply ->
            crashNotices.report(request.crashEvidence)
            reply(permits.decide(request, entryHosts.count()))
        },
        callHandler(TurnMethods.fetch) { request, reply -> reply(repository.fetchTurns(request)) },
        callHandler(TurnMethods.listState) { request, reply -> reply(onListState(request)) },
        callHandler(TurnMethods.missing) { request, reply -> reply(repository.findMissing(request)) },
        callHandler(TurnMethods.offer) { request, reply -> repository.importRecords(request.records) { reply(KeepReply(it)) } },
        callHandler(TurnMethods.copy) { request, reply -> reply(repository.readCopyPage(request)) },
    )
}
