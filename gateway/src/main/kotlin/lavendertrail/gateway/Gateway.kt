package lavendertrail.gateway

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
import kotlinx.serialization.json.put
import lavendertrail.model.StepError
import lavendertrail.serving.BackendServer
import lavendertrail.serving.CallerDisconnected
import lavendertrail.serving.CallerLimits
import lavendertrail.serving.ClockTicked
import lavendertrail.serving.CrashEvidenceLearnt
import lavendertrail.serving.CrashReportsKnown
import lavendertrail.serving.CrashReportsMissed
import lavendertrail.serving.ProcessPaused
import lavendertrail.serving.Reject
import lavendertrail.serving.RejectReason
import lavendertrail.serving.RequestArrived
import lavendertrail.serving.RequestKey
import lavendertrail.serving.RequestLimitsLearnt
import lavendertrail.serving.ServingEffect
import lavendertrail.serving.ServingEvent
import lavendertrail.serving.StopAnnounced
import lavendertrail.serving.reduceServing
import lavendertrail.serving.requestFingerprint
import lavendertrail.serving.servingState
import lavendertrail.turns.CurrentTurnHosts
import lavendertrail.turns.TurnClient
import lavendertrail.turns.TurnHosts
import lavendertrail.turns.startRelayServer
import java.io.IOException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/**
 * The process of an entry host: accepts callers' requests, applies the serving reducer to events and executes its effects.
 * Everything runs on one event loop.
 */
public class Gateway(
    private val settings: GatewaySettings,
    private val protocol: GatewayProtocol,
    private val group: EventLoopGroup,
    private val log: StructuredLog,
    private val metrics: GatewayMetrics,
    /** Reads the current list of turn hosts from the platform's store; null if it can't be read. Called on a thread of its own. */
    private val readTurnHosts: () -> CurrentTurnHosts? = { null },
) {
    private val loop: EventLoop = group.next()
    private val callerConnections = mutableSetOf<CallerConnection>()
    private val exchanges = HashMap<Long, Exchange>()
    private val exchangeKeys = HashMap<CallerConnection, Long>()

    /** Changed only on the event loop, and read by the threads of status pages. */
    @Volatile
    private var state = servingState(settings.failureDomain, settings.serving)
    private var nextKey = 1L
    private var ticks = 0L
    private var listenChannel: Channel? = null
    private var isDraining = false
    private var isRelayStarted = false

    /** Whether the turn hosts that respond have told what was reported before this process started. */
    private var hasHeardReports = false
    private var wereTurnHostsReachable = false
    private var wereTurnCallsRelayed = false
    private var drainStartedAtMillis = 0L
    private val drainSchedule = drainSchedule(settings.graceMillis)
    private val clockCheck = ClockCheck()
    private val loopStall = LoopStall(TICK_MILLIS)
    private val turnHostReader =
        Executors.newSingleThreadExecutor { task -> thread(start = false, isDaemon = true, name = "turn-host-reader") { task.run() } }
    private val turnClient =
        TurnClient(
            loop = group,
            ownFailureDomain = settings.failureDomain,
            cacheBytes = settings.turnCacheBytes,
            readCurrentHosts = { onResult -> turnHostReader.execute { onResult(readTurnHostsSafely()) } },
            onHostsLearnt = ::logLearntHosts,
            onLimitsLearnt = { submit(RequestLimitsLearnt(it)) },
            onCrashEvidenceLearnt = { submit(CrashEvidenceLearnt(it)) },
            onCrashReportsMissed = { submit(CrashReportsMissed(it)) },
            onCallFailure = { log.warn("turn host call failed", it) },
        )
    private val pool =
        ServerPool(ServerConnector(loop, settings.serverConnectMillis, ReceiveBudget(settings.receiveBudgetBytes)), ::nowMillis)
    private val turnKeeper = TurnKeeper(turnClient, log, metrics)
    private val turnEffects = TurnEffects(loop, turnClient, turnKeeper, exchanges, log, metrics, ::submit)
    private val effectRunner =
        EffectRunner(
            protocol,
            loop,
            pool,
            turnKeeper,
            turnEffects,
            exchanges,
            log,
            metrics,
            ::submit,
            ::sendProblem,
            ::removeExchange,
        )
    private val callerContext =
        CallerConnectionContext(
            nowMillis = ::nowMillis,
            arrivalMillis = loopStall::earliestArrivalMillis,
            limits = ::limits,
            shouldCloseConnections = { isDraining || turnClient.isCutOff },
            onOpened = ::onCallerConnected,
            onRequest = ::onRequest,
            onWritable = { connection -> exchangeKeys[connection]?.let { exchanges[it] }?.resumeReading() },
            onClosed = ::onCallerDisconnected,
            onFailure = ::onCallerFailure,
        )

    /**
     * Whether the platform may route callers to this process. A process that can't reach the turn hosts can't serve turns, and one
     * that hasn't heard their reports since its start may send on a request that crashes servers.
     */
    public val isReady: Boolean
        get() = !isDraining && state.config != null && state.serverCount > 0 && turnClient.isReachable && hasHeardReports

    public fun start() {
        listenChannel =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            val connection = CallerConnection(callerContext)
                            val decoder = StrictRequestDecoder(limits().maxHeaderBytes)
                            channel.pipeline().addLast(connection.byteObserver, decoder, HttpResponseEncoder(), connection)
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
        if (clockCheck.hasPaused()) apply(ProcessPaused)
        apply(event)
    }

    private fun sendProblem(
        key: RequestKey,
        server: BackendServer,
    ): String? {
        // The process may have stood still until the connection was ready.
        if (clockCheck.hasPaused()) apply(ProcessPaused)
        val withdrawal = state.withdrawal(server)
        return when {
            withdrawal != null -> "server ${withdrawal.name.lowercase()}"
            !state.isKeyInForce(key, nowMillis()) -> "key not in force"
            !state.mayBeginBeforeStop(key) -> "the process stops"
            else -> null
        }
    }

    private fun apply(event: ServingEvent) {
        val step = reduceServing(state, nowMillis(), event)
        state = step.state
        step.effects.forEach(::execute)
    }

    /** Each read must have a result, since the next one waits for it. */
    private fun readTurnHostsSafely(): CurrentTurnHosts? =
        try {
            readTurnHosts()
        } catch (e: RuntimeException) {
            log.error("turn host list unreadable", e)
            null
        }

    private fun logLearntHosts(hosts: TurnHosts) {
        log.event("turn hosts learnt") {
            put("hosts", hosts.hosts.joinToString(",") { it.name })
            put("revision", hosts.revision)
        }
    }

    public fun updateTurnHosts(hosts: TurnHosts) {
        loop.execute {
            turnClient.updateHosts(hosts)
            meetTurnHosts()
        }
    }

    /** Returns the state of this process for operators. */
    public fun dump(): GatewayDump =
        GatewayDump(
            node = settings.nodeName,
            isReady = isReady,
            configVersion = state.configVersion,
            storeSilenceMillis = state.storeSilenceMillis(nowMillis()),
            pendingRequests = state.pendingRequests,
            callerConnections = callerConnections.size,
            turnHosts = turnClient.hosts.hosts.map { it.name },
            hedgedTurnCalls = turnClient.hedgedCallCount,
            serverOccupancy = state.serverOccupancy(nowMillis()),
            requestLimits = state.requestLimits,
            accounts = state.accountCount,
            areKeysTrusted = state.areKeysTrusted(nowMillis()),
            rejections = metrics.rejectionCounts(),
        )

    /**
     * Shuts down gracefully: reports not ready, serves requests until the platform has stopped routing callers here, then closes
     * idle connections. Requests that wouldn't end in time are refused, and those in progress get a final answer before the grace
     * period ends. [onDone] is called once all answers have been written, or shortly before the grace period ends.
     */
    public fun drain(onDone: () -> Unit) {
        loop.execute {
            if (isDraining) return@execute
            isDraining = true
            drainStartedAtMillis = nowMillis()
            turnClient.stopDelayingSettlements()
            submit(StopAnnounced(drainStartedAtMillis + drainSchedule.endRequestsMillis))
            loop.scheduleAtFixedRate({ checkDrained(onDone) }, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun checkDrained(onDone: () -> Unit) {
        val drainingMillis = nowMillis() - drainStartedAtMillis
        if (drainingMillis > drainSchedule.stopAcceptingMillis) listenChannel?.close()
        val mayCloseIdle = drainingMillis > drainSchedule.closeIdleMillis
        if (mayCloseIdle) callerConnections.toList().forEach { it.closeIfIdle() }
        val isEmpty = exchanges.isEmpty() && callerConnections.isEmpty() && mayCloseIdle
        if (isEmpty || drainingMillis > drainSchedule.exitMillis) onDone()
    }

    private fun execute(effect: ServingEffect) {
        effectRunner.execute(effect)
    }

    private fun tick() {
        val tick = ticks++
        loopStall.recordTick()
        runPeriodically("clock") { submit(ClockTicked) }
        state.accountCount?.let { metrics.recordAccounts(it, state.areKeysTrusted(nowMillis())) }
        if (tick % PROBE_TICKS == 0L) runPeriodically("probe turn hosts", ::probeTurnHosts)
        if (tick % RELAY_EXCHANGE_TICKS == RELAY_EXCHANGE_TICKS - 1) {
            settings.relayAddress?.let { runPeriodically("exchange relay addresses") { exchangeRelayAddresses(it) } }
        }
        if (tick % CLEANUP_TICKS == 0L) runPeriodically("close timed-out connections", ::closeTimedOutConnections)
    }

    /** A periodic task that throws is not scheduled again, and without ticks no deadline would be enforced. */
    private fun runPeriodically(
        step: String,
        task: () -> Unit,
    ) {
        try {
            task()
        } catch (e: RuntimeException) {
            log.error("$step failed", e)
        }
    }

    private fun closeTimedOutConnections() {
        val now = nowMillis()
        callerConnections.toList().forEach { it.closeIfTimedOut(now) }
        pool.closeExpired()
    }

    private fun exchangeRelayAddresses(relayAddress: String) {
        if (!isRelayStarted) startRelay(relayAddress)
        turnClient.exchangeRelayAddresses(relayAddress)
    }

    /**
     * Starts the relay server on first use: loading its classes at startup would delay the first requests by about 100 ms. The start
     * waits for the event loop, so it needs a thread of its own. A failed start is repeated at the next exchange.
     */
    private fun startRelay(relayAddress: String) {
        isRelayStarted = true
        thread(name = "relay-start", isDaemon = true) {
            try {
                startRelayServer(turnClient.relay, socketAddress(relayAddress), group)
            } catch (e: IOException) {
                log.warn("relay not started", StepError("listen", relayAddress, e.toString()))
                loop.execute { isRelayStarted = false }
            }
        }
    }

    private fun meetTurnHosts() {
        turnClient.meetNewConnections(settings.relayAddress.takeIf { isRelayStarted }, ::updateReportsKnown)
        updateReportsKnown()
    }

    private fun updateReportsKnown() {
        if (hasHeardReports || turnClient.hosts.hosts.isEmpty()) return
        hasHeardReports = turnClient.areCrashReportsKnown
        submit(CrashReportsKnown(hasHeardReports))
    }

    private fun probeTurnHosts() {
        turnClient.probeUnresponsive()
        meetTurnHosts()
        val isRelayed = turnClient.isRelayed
        if (isRelayed != wereTurnCallsRelayed) {
            wereTurnCallsRelayed = isRelayed
            log.event(if (isRelayed) "turn calls relayed" else "turn calls direct") { put("hosts", turnClient.hosts.hosts.size) }
        }
        val isReachable = turnClient.isReachable
        if (isReachable == wereTurnHostsReachable) return
        wereTurnHostsReachable = isReachable
        log.event(if (isReachable) "turn hosts reached" else "turn hosts lost") { put("hosts", turnClient.hosts.hosts.size) }
    }

    private fun limits() = state.config?.limits ?: DEFAULT_LIMITS

    private fun onCallerConnected(connection: CallerConnection) {
        callerConnections += connection
    }

    private fun onRequest(
        connection: CallerConnection,
        head: HttpRequest,
        body: ByteArray,
        startedMillis: Long,
    ) {
        val request =
            protocol
                .decodeRequest(head)
                ?.let { it.copy(fingerprint = requestFingerprint(it, body)) }
                ?.withElapsed(nowMillis() - startedMillis)
        val key = nextKey++
        if (request == null) {
            metrics.recordRejection(RejectReason.MALFORMED)
            connection.respond(protocol.rejection(null, Reject(key, RejectReason.MALFORMED)))
            return
        }
        exchanges[key] = Exchange(key, connection, head, body, request, nowMillis())
        exchangeKeys[connection] = key
        submit(RequestArrived(key, request))
    }

    private fun removeExchange(exchange: Exchange) {
        exchanges.remove(exchange.key)
        exchangeKeys.remove(exchange.connection)
    }

    private fun onCallerDisconnected(connection: CallerConnection) {
        callerConnections -= connection
        val exchange = exchangeKeys[connection]?.let { exchanges[it] } ?: return
        effectRunner.onCallerDisconnected(exchange)
        submit(CallerDisconnected(exchange.key))
    }

    private fun onCallerFailure(
        connection: CallerConnection,
        cause: Throwable,
    ) {
        log.warn("caller connection failed", StepError("read request", connection.channel.remoteAddress().toString(), cause.toString()))
    }

    private companion object {
        val DEFAULT_LIMITS = CallerLimits()
        const val LISTEN_BACKLOG = 512
        const val TICK_MILLIS = 50L
        const val CLEANUP_TICKS = 10L
        const val PROBE_TICKS = 5L

        /** Every five seconds, first five seconds after startup; the set of entry hosts changes rarely. */
        const val RELAY_EXCHANGE_TICKS = 100L
    }
}

public fun nowMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
