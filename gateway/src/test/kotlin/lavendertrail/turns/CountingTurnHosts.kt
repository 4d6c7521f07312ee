package lavendertrail.turns

import io.grpc.Server
import io.grpc.ServerServiceDefinition
import io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import io.netty.channel.socket.nio.NioServerSocketChannel
import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import lavendertrail.serving.TurnHost
import lavendertrail.standins.freePorts
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Turn hosts without disks that count the calls they receive and remember the uses. */
internal class CountingTurnHosts(
    count: Int,
) : AutoCloseable {
    private val group = singleEventLoop()
    private val useCalls = AtomicInteger()
    private val keepCalls = AtomicInteger()
    private val usesByHost = ConcurrentHashMap<String, ConcurrentHashMap<String, UseRecord>>()
    private val servers = mutableListOf<Server>()
    val hosts: List<TurnHost> =
        freePorts(count).mapIndexed { index, port -> TurnHost("h$index", "127.0.0.1:$port", FailureDomain("d${index % 5}")) }

    init {
        hosts.forEach { servers += startHost(it) }
    }

    val useCallCount: Int get() = useCalls.get()
    val callCount: Int get() = useCalls.get() + keepCalls.get()

    /** The number of hosts at which the use of [attempt] is settled. */
    fun settledCopies(attempt: String): Int = usesByHost.values.count { it[attempt]?.isSettled == true }

    private fun startHost(host: TurnHost): Server {
        val uses = usesByHost.getOrPut(host.name) { ConcurrentHashMap() }
        val service =
            ServerServiceDefinition
                .builder(TURN_SERVICE_NAME)
                .addMethod(
                    TurnMethods.use,
                    ServerCalls.asyncUnaryCall { request, observer ->
                        useCalls.incrementAndGet()
                        (request.settlements + listOfNotNull(request.reservation)).forEach { uses[it.attemptId] = it }
                        observer.onNext(UseReply(isKept = true, uses = packUses(uses.values), isComplete = true))
                        observer.onCompleted()
                    },
                ).addMethod(
                    TurnMethods.keep,
                    ServerCalls.asyncUnaryCall { _, observer ->
                        keepCalls.incrementAndGet()
                        observer.onNext(KeepReply(isKept = true))
                        observer.onCompleted()
                    },
                ).build()
        val port = host.address.substringAfter(':').toInt()
        return NettyServerBuilder
            .forAddress(InetSocketAddress("127.0.0.1", port))
            .bossEventLoopGroup(group)
            .workerEventLoopGroup(group)
            .channelType(NioServerSocketChannel::class.java)
            .directExecutor()
            .addService(service)
            .build()
            .start()
    }

    override fun close() {
        servers.forEach { it.shutdownNow() }
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }
}
