package lavendertrail.turns

import io.grpc.Server
import lavendertrail.gateway.singleEventLoop
import lavendertrail.gateway.socketAddress
import lavendertrail.model.FailureDomain
import lavendertrail.serving.TurnHost
import lavendertrail.standins.freePorts
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

    /** How long each reply is delayed. */
    @Volatile
    var replyDelayMillis = 0L

    val useCallCount: Int get() = useCalls.get()
    val callCount: Int get() = useCalls.get() + keepCalls.get()

    /** The number of hosts at which the use of [attempt] is settled. */
    fun settledCopies(attempt: String): Int = usesByHost.values.count { it[attempt]?.isSettled == true }

    private fun startHost(host: TurnHost): Server {
        val uses = usesByHost.getOrPut(host.name) { ConcurrentHashMap() }
        val handlers =
            mapOf(
                callHandler(TurnMethods.use) { request, reply ->
                    useCalls.incrementAndGet()
                    (request.settlements + listOfNotNull(request.reservation)).forEach { uses[it.attemptId] = it }
                    val useReply = UseReply(isKept = true, uses = packUses(uses.values), isComplete = true)
                    group.schedule({ reply(useReply) }, replyDelayMillis, TimeUnit.MILLISECONDS)
                },
                callHandler(TurnMethods.keep) { _, reply ->
                    keepCalls.incrementAndGet()
                    group.schedule({ reply(KeepReply(isKept = true)) }, replyDelayMillis, TimeUnit.MILLISECONDS)
                },
            )
        return startCallServer(handlers, socketAddress(host.address), group)
    }

    override fun close() {
        servers.forEach { it.shutdownNow() }
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }
}
