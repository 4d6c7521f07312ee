package lavendertrail.gateway

import io.grpc.Server
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.put
import lavendertrail.model.StepError
import lavendertrail.serving.CallerDisconnected
import lavendertrail.serving.CallerLimits
import lavendertrail.serving.ClockTicked
import lavendertrail.serving.Reject
import lavendertrail.serving.RejectReason
import lavendertrail.serving.RequestArrived
import lavendertrail.serving.ServingEffect
import lavendertrail.serving.ServingEvent
import lavendertrail.serving.reduceServing
import lavendertrail.serving.servingState
import lavendertrail.turns.TurnClient
import lavendertrail.turns.TurnHosts
import lavendertrail.turns.startRelayServer

/**
 * An entry host's process: accepts callers' requests, applies the serving reducer to what happens, and carries out its
 * effects. Everything runs on one event loop.
 */
public class Gateway(
    private val settings: GatewaySettings,
    private val wire: GatewayProtocol,
    private val group: EventLoopGroup,
    private val log: StructuredLog,
    private val metrics: GatewayMetrics,
) {
    private val loop: EventLoop = group.next()
    private val callers = mutableSetOf<CallerConnection>()
    private val exchanges = HashMap<Long, Exchange>()
    private val keysByConnection = HashMap<CallerConnection, Long>()
    private var state = servingState(settings.failureDomain, settings.serving)
    private var nextKey = 1L
    private var ticks = 0L
    private var acceptor: Channel? = null
    private var isDraining = false
    private var relayServer: Server? = null
    private var wereTurnsReachable = false
    private var wereTurnsRelayed = false
    private var drainStartedMillis = 0L
    private val turns = TurnClient(group, settings.failureDomain, settings.turnCacheBytes) { log.warn("turn host call failed", it) }
    private val pool = ServerPool(ServerConnector(loop, settings.serverConnectMillis), ::nowMillis)
    private val effects =
        EffectRunner(settings, wire, loop, pool, turns, exchanges, log, metrics, ::submit, ::finished)
    private val handling =
        CallerHandling(::nowMillis, ::limits, { isDraining || turns.isCutOff }, ::opened, ::received, ::closed, ::failed)

    /** Whether the platform may send callers here. A process that can't reach the hosts with disks can serve no turns. */
    public val isReady: Boolean get() = !isDraining && state.config != null && state.serverCount > 0 && turns.isReachable

    public fun start() {
        acceptor =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            val connection = CallerConnection(handling)
                            channel.pipeline().addLast(StrictRequestDecoder(limits().maxHeaderBytes), HttpResponseEncoder(), connection)
                        }
                    },
                ).bind(socketAddress(settings.callerAddress))
                .sync()
                .channel()
        loop.scheduleAtFixedRate(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Applies [event] on the event loop. */
    public fun submit(event: ServingEvent) {
        if (!loop.inEventLoop()) return loop.execute { submit(event) }
        val step = reduceServing(state, nowMillis(), event)
        state = step.state
        step.effects.forEach(::carryOut)
    }

    public fun updateTurnHosts(hosts: TurnHosts) {
        loop.execute { turns.update(hosts) }
    }

    /** The process's state for operators. */
    public fun dump(): GatewayDump =
        GatewayDump(
            node = settings.nodeName,
            isReady = isReady,
            configVersion = state.configVersion,
            pendingRequests = state.pendingRequests,
            callerConnections = callers.size,
            turnHosts = turns.hosts.hosts.map { it.name },
            serverOccupancy = state.serverOccupancy(nowMillis()),
        )

    /**
     * Stops in order: reports not ready, serves what still arrives until the platform has taken this process out, then closes
     * idle connections. [onDone] is called once no request is left, or when most of the grace time has passed.
     */
    public fun drain(onDone: () -> Unit) {
        loop.execute {
            if (isDraining) return@execute
            isDraining = true
            drainStartedMillis = nowMillis()
            loop.scheduleAtFixedRate({ checkDrained(onDone) }, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun checkDrained(onDone: () -> Unit) {
        val drainedMillis = nowMillis() - drainStartedMillis
        if (drainedMillis > STOP_ACCEPTING_MILLIS) acceptor?.close()
        if (drainedMillis > CLOSE_IDLE_MILLIS) callers.toList().forEach { it.closeIdle() }
        val isEmpty = exchanges.isEmpty() && callers.isEmpty() && drainedMillis > CLOSE_IDLE_MILLIS
        if (isEmpty || drainedMillis > settings.graceMillis - STOP_MARGIN_MILLIS) onDone()
    }

    private fun carryOut(effect: ServingEffect) {
        effects.carryOut(effect)
    }

    private fun tick() {
        try {
            submit(ClockTicked)
            if (ticks % PROBE_TICKS == 0L) probeTurnHosts()
            if (ticks % MEET_TICKS == MEET_TICKS - 1) settings.relayAddress?.let(::meetEntryHosts)
            if (ticks++ % SLOW_TICKS == 0L) {
                val now = nowMillis()
                callers.toList().forEach { it.checkTimes(now) }
                pool.closeExpired()
            }
        } catch (e: RuntimeException) {
            // A scheduled task that throws is not run again, and without it no deadline would be kept.
            log.error("tick failed", e)
        }
    }

    /** The server is started late, since its classes would delay the first requests after a start by a tenth of a second. */
    private fun meetEntryHosts(relayAddress: String) {
        if (relayServer == null) relayServer = startRelayServer(turns.relay, socketAddress(relayAddress), group)
        turns.meet(relayAddress)
    }

    private fun probeTurnHosts() {
        turns.probe()
        val isRelayed = turns.isRelayed
        if (isRelayed != wereTurnsRelayed) {
            wereTurnsRelayed = isRelayed
            log.event(if (isRelayed) "turn calls relayed" else "turn calls direct") { put("hosts", turns.hosts.hosts.size) }
        }
        val isReachable = turns.isReachable
        if (isReachable == wereTurnsReachable) return
        wereTurnsReachable = isReachable
        log.event(if (isReachable) "turn hosts reached" else "turn hosts lost") { put("hosts", turns.hosts.hosts.size) }
    }

    private fun limits() = state.config?.limits ?: DEFAULT_LIMITS

    private fun opened(connection: CallerConnection) {
        callers += connection
    }

    private fun received(
        connection: CallerConnection,
        head: HttpRequest,
        body: ByteArray,
    ) {
        val request = wire.decodeRequest(head)
        val key = nextKey++
        if (request == null) {
            metrics.rejected(RejectReason.MALFORMED)
            connection.answer(wire.rejection(null, Reject(key, RejectReason.MALFORMED)))
            return
        }
        exchanges[key] = Exchange(key, connection, head, body, request, nowMillis())
        keysByConnection[connection] = key
        submit(RequestArrived(key, request))
    }

    private fun finished(exchange: Exchange) {
        exchanges.remove(exchange.key)
        keysByConnection.remove(exchange.connection)
    }

    private fun closed(connection: CallerConnection) {
        callers -= connection
        val exchange = keysByConnection[connection]?.let { exchanges[it] } ?: return
        effects.callerLeft(exchange)
        submit(CallerDisconnected(exchange.key))
    }

    private fun failed(
        connection: CallerConnection,
        cause: Throwable,
    ) {
        log.warn("caller connection failed", StepError("read request", connection.channel.remoteAddress().toString(), cause.toString()))
    }

    private companion object {
        val DEFAULT_LIMITS = CallerLimits()
        const val BACKLOG = 512
        const val TICK_MILLIS = 50L
        const val SLOW_TICKS = 10L
        const val PROBE_TICKS = 5L

        /** Every five seconds, the first time five seconds after the start; other entry hosts change rarely. */
        const val MEET_TICKS = 100L

        /** The platform asks once a second and takes a process out after two misses. */
        const val STOP_ACCEPTING_MILLIS = 3_500L

        /** Callers that go on using a kept connection get their answer with a close; those that don't are closed now. */
        const val CLOSE_IDLE_MILLIS = 4_000L

        /** Time to write the last answers before the process is killed. */
        const val STOP_MARGIN_MILLIS = 700L
    }
}

public fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
