package lavendertrail.node

import lavendertrail.api.nodeApi
import lavendertrail.http.HttpBinding
import lavendertrail.http.HttpServer
import lavendertrail.http.httpServer
import lavendertrail.journal.JournalReplicator
import lavendertrail.journal.JournalStore
import lavendertrail.journal.fileJournalStore
import lavendertrail.membership.NodeRecord
import lavendertrail.membership.OwnedPartition
import lavendertrail.model.FailureDomain
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.RegionId
import lavendertrail.peer.PeerLimits
import lavendertrail.peer.PeerServer
import lavendertrail.peer.PeerService
import lavendertrail.peer.peerClient
import lavendertrail.peer.peerServer
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.ShutdownRequested
import lavendertrail.settings.NodeSettings
import org.tinylog.kotlin.Logger
import java.io.File
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * One lavendertrail process: the runner with its executors, the API for callers and operators, and the service for other
 * nodes. Several can run in one JVM.
 *
 * ```kotlin
 * val node = Node(settings, httpPlatform(settings.platform))
 * node.start()
 * node.drain()     // hands its partitions over; no request is cut off
 * ```
 */
public class Node(
    public val settings: NodeSettings,
    private val platform: Platform,
    journalStore: JournalStore? = settings.dataFolder?.let { fileJournalStore(Path.of(it).resolve("journal"), settings.journal) },
) : AutoCloseable {
    private val gate = PauseGate()
    private val background = BackgroundExecutor(settings.node, gate)
    private val hub = StreamHub()
    private val metrics = NodeMetrics()
    private val store = journalStore
    private val peerPort = if (settings.peer.port == 0) freePort(settings.peer.ip) else settings.peer.port
    private val apiPort = if (settings.api.port == 0) freePort(settings.api.ip) else settings.api.port
    private val self = selfRecord()
    private val runner: Runner =
        Runner(
            initial = NodeState(self, ReducerSettings(settings.programs, settings.dispatch, settings.membership)),
            tickMillis = settings.timing.tickMillis,
            recorder = settings.log.eventLogFile?.let { EventRecorder(File(it)) },
            gate = gate,
            onStep = ::onStep,
            execute = { effects.execute(it) },
        )
    private val service = MeteredKeyValueService(platform.keyValue, runner::submit)
    private val owner = LocalOwner(hub, runner::submit)
    private val peerService = LocalPeerService(runner::state, owner, store, runner::submit, ::dump, gate)
    private val security = settings.peer.toSecurity()
    private val peers = Peers(runner::state) { address -> peerClient(address, peerLimits(), security) }
    private val replicator = JournalReplicator(::journalPeer, runner::submit)
    private val historyReader = JournalHistoryReader(runner::state, ::journalPeer)
    private val backends = BackendPool(platform, runner::state)
    private val reachability = ReachabilityReporter(runner::submit)
    private val attempts = AttemptExecutor(backends, hub, historyReader, background, runner::state, runner::submit, gate)
    private val configFile = settings.dataFolder?.let { ConfigFile(Path.of(it)) }
    private val shutdownReady = CountDownLatch(1)
    private val effects: EffectExecutor =
        EffectExecutor(
            owner = owner,
            histories = HistoryResponder(owner, historyReader, background),
            attempts = attempts,
            engines = EngineCommands(backends, platform.weightStore, reachability, background, runner::state, runner::submit),
            records = ServiceRecords(service, background, runner::submit),
            peers = PeerCommands(peers, background, runner::state, runner::submit),
            journal = replicator,
            saveConfig = { effect -> background.run("config file") { configFile?.save(effect.records, effect.headRevision) } },
            onShutdownReady = shutdownReady::countDown,
        )
    private val lease = NodeLease(service, background, settings.timing.leaseTtlMillis, settings.timing.leaseRenewMillis, ::leaseRecord)
    private val watch = ServiceWatch(service, background, settings.timing.watchIdleMillis, runner::submit)
    private val poller = PlatformPoller(platform.hostList, backends, reachability, background, runner::submit)
    private val router = EntryRouter(self.node, runner::state, owner, peers, background, onForward = metrics::recordForward)
    private val api =
        nodeApi(settings, router, runner::state, background, metrics, service, peers, store, runner::submit, ::dump, ::unreadyReason, gate)
    private var peerServer: PeerServer? = null
    private var apiServer: HttpServer? = null

    /** Owned partitions as of the last step; used on the runner's thread only. */
    private var owned: Map<PartitionId, OwnedPartition> = emptyMap()

    @Volatile
    private var draining = false

    @Volatile
    private var leavingRecorded = false

    public val name: String get() = settings.node

    /** `ip:port` for callers. */
    public val apiAddress: String get() = self.apiAddress

    /** The state of the reducer after the last event. */
    public val state: NodeState get() = runner.state

    /** Events that were dropped because a sub-reducer failed; 0 unless the code has a bug. */
    public val runnerFaults: Long get() = runner.stats().faults

    public fun start() {
        runner.start()
        configFile?.load()?.let(runner::submit)
        peerServer = peerServer(settings.peer.ip, peerPort, peerService, security)
        background.run("node lease") { lease.start() }
        watch.start()
        poller.start(settings.timing.hostListPollMillis, settings.timing.cacheEventPollMillis)
        background.scheduleWithFixedDelay(SWEEP_INTERVAL_MILLIS, "sweep") { sweep() }
        background.scheduleWithFixedDelay(RECLAIM_INTERVAL_MILLIS, "journal reclaim") { reclaimJournals() }
        metrics.bindRunner(runner)
        metrics.bindState(runner)
        metrics.bindService(service)
        apiServer = httpServer(HttpBinding(settings.api.ip, apiPort, settings.api.toTls()), settings.api.toLimits(), api)
        Logger.info("node: ${settings.node} in ${settings.failureDomain} serves callers at $apiAddress, nodes at ${self.peerAddress}")
    }

    /** Whether the node accepts new connections: it has configuration and isn't draining. */
    public fun isReady(): Boolean = unreadyReason() == null

    /**
     * Shuts down cleanly: /readyz fails first, so that the load balancer sends no new connections; then partitions are handed
     * over, and the node stops when no request is open. Returns false if the limit passed before that.
     */
    public fun drain(limitMillis: Long = settings.timing.shutdownLimitMillis): Boolean {
        draining = true
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis)
        Logger.info("node: ${settings.node} is draining")
        Thread.sleep(minOf(settings.timing.unreadyBeforeDrainMillis, limitMillis))
        runner.submit(ShutdownRequested)
        val handedOver = shutdownReady.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS)
        while ((api.openRequests > 0 || api.openStreams > 0 || owner.pendingCount > 0) &&
            System.nanoTime() < deadlineNanos
        ) {
            Thread.sleep(DRAIN_POLL_MILLIS)
        }
        val requestsEnded = api.openRequests == 0 && api.openStreams == 0
        Logger.info("node: ${settings.node} drained, handed over: $handedOver, requests ended: $requestsEnded")
        lease.revoke()
        close()
        return handedOver && requestsEnded
    }

    /** Stops at once, as a crash does: nothing is handed over, open connections break, the lease stays. */
    override fun close() {
        gate.open()
        apiServer?.stop()
        peerServer?.close()
        watch.close()
        runner.close()
        replicator.close()
        background.close()
        peers.close()
        backends.close()
        store?.close()
    }

    /** Freezes the node, as a stopped process or a long garbage collection would; connections stay open. */
    public fun pause(): Unit = gate.close()

    public fun resume(): Unit = gate.open()

    private fun dump(): String = dump(runner.state, runner.stats(), service.counts(), owner.pendingCount).toString()

    private fun unreadyReason(): String? =
        when {
            draining -> "draining"
            runner.state.config.headRevision == 0L -> "no configuration yet"
            else -> null
        }

    private fun journalPeer(node: NodeId): PeerService? = if (node == self.node) peerService else peers.peer(node)

    private fun leaseRecord(): NodeRecord = runner.state.self.copy(leaving = runner.state.membership.shuttingDown)

    /** The record in the service tells other nodes that this one is leaving, so it is written as soon as that is decided. */
    private fun onStep(state: NodeState) {
        releaseLostPartitions(state)
        if (state.membership.shuttingDown && !leavingRecorded) {
            leavingRecorded = true
            background.run("node record") { lease.renew() }
        }
    }

    private fun releaseLostPartitions(state: NodeState) {
        val current = state.membership.owned
        if (current === owned) return
        owned.keys.filter { it !in current }.forEach(replicator::release)
        owned = current
    }

    private fun sweep() {
        hub.sweep(TimeUnit.MILLISECONDS.toNanos(TEXT_RETENTION_MILLIS))
        peers.sweep()
    }

    /** Frees the disk space of programs that ended longer ago than the retention time. */
    private fun reclaimJournals() {
        val endedBeforeMillis = System.currentTimeMillis() - TimeUnit.DAYS.toMillis(settings.historyRetentionDays.toLong())
        val active =
            runner.state.membership.owned
                .filterValues { it.isActive }
        active.keys.forEach { partition -> background.run("reclaim of $partition") { replicator.reclaim(partition, endedBeforeMillis) } }
    }

    private fun peerLimits(): PeerLimits = PeerLimits(probeTimeoutMillis = settings.membership.probeTimeoutMillis)

    private fun selfRecord(): NodeRecord =
        NodeRecord(
            node = NodeId(settings.node),
            region = RegionId(settings.region),
            failureDomain = FailureDomain(settings.failureDomain),
            peerAddress = "${settings.peer.ip}:$peerPort",
            apiAddress = "${settings.api.ip}:$apiPort",
            incarnation = System.currentTimeMillis(),
            journal = store != null,
        )

    private companion object {
        const val SWEEP_INTERVAL_MILLIS = 5_000L

        /** Rare, because a reclaim reads whole journals and the retention time is counted in days. */
        const val RECLAIM_INTERVAL_MILLIS = 3_600_000L
        const val TEXT_RETENTION_MILLIS = 60_000L
        const val DRAIN_POLL_MILLIS = 20L
    }
}
