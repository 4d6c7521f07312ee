package lavendertrail.dev

import lavendertrail.history.sha256Hex
import lavendertrail.membership.MembershipSettings
import lavendertrail.model.FailureDomain
import lavendertrail.model.RegionId
import lavendertrail.node.Node
import lavendertrail.node.httpPlatform
import lavendertrail.settings.ApiSettings
import lavendertrail.settings.NodeSettings
import lavendertrail.settings.OperatorToken
import lavendertrail.settings.PeerSettings
import lavendertrail.settings.PlatformSettings
import lavendertrail.settings.TimingSettings
import lavendertrail.standins.PlatformPresets
import lavendertrail.standins.StandinPlatform
import lavendertrail.standins.standinPlatform
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import lavendertrail.standins.PlatformSettings as StandinSettings

/** Options of a [DevCluster]. [adapt] changes the settings of each node before it starts. */
public data class DevOptions(
    public val nodes: Int = 3,
    public val firstApiPort: Int = 0,
    public val platform: StandinSettings = PlatformPresets.small(timeScale = 5.0),
    public val failureDomains: List<String> = listOf("dev-a", "dev-b", "dev-c"),
    public val adapt: (NodeSettings) -> NodeSettings = { it },
) {
    init {
        require(nodes > 0) { "nodes must be positive, was $nodes" }
    }
}

/**
 * A whole deployment in one process: nodes in several failure domains and stand-ins of all external systems, connected by
 * loopback sockets. Journals are in a temporary folder that is kept when a node is killed and deleted on [close].
 *
 * ```kotlin
 * DevCluster(DevOptions(nodes = 3)).use { cluster ->
 *     cluster.start()
 *     cluster.kill(1)
 *     cluster.restart(1)
 * }
 * ```
 */
public class DevCluster(
    private val options: DevOptions = DevOptions(),
) : AutoCloseable {
    private val folder: Path = Files.createTempDirectory("lavendertrail-dev")
    private val settings: List<NodeSettings>
    private val nodes = arrayOfNulls<Node>(options.nodes)

    /** The stand-ins, for fault injection and for reading their ledgers. Both owners' servers are in the cluster's region. */
    public val platform: StandinPlatform = standinPlatform(options.platform.inRegion(REGION, options.failureDomains))

    init {
        platform.writeRecords()
        settings = (0 until options.nodes).map { index -> options.adapt(defaultSettings(index)) }
    }

    /** The running node at [index], or null while it is stopped. */
    public fun node(index: Int): Node? = nodes[index]

    public val running: List<Node> get() = nodes.filterNotNull()

    /** `ip:port` of each running node's API. */
    public val addresses: List<String> get() = running.map { it.apiAddress }

    /** Starts all nodes and returns once every partition is active at its owner node. */
    public fun start(limitMillis: Long = START_LIMIT_MILLIS) {
        nodes.indices.forEach(::restart)
        check(awaitSettled(limitMillis)) { "cluster did not settle within $limitMillis ms" }
    }

    /** Starts the node at [index] with the data folder that it had before. */
    public fun restart(index: Int) {
        check(nodes[index] == null) { "node $index is running" }
        nodes[index] = Node(settings[index], httpPlatform(settings[index].platform)).also { it.start() }
    }

    /** Drains and stops the node; see [Node.drain]. */
    public fun stop(index: Int): Boolean = removeNode(index).drain()

    /** Stops the node without a drain, as a crash of its host does. */
    public fun kill(index: Int): Unit = removeNode(index).close()

    public fun pause(index: Int): Unit = checkNotNull(nodes[index]) { "node $index is not running" }.pause()

    public fun resume(index: Int): Unit = checkNotNull(nodes[index]) { "node $index is not running" }.resume()

    /** Waits until each partition is active at exactly one running node and all nodes have that node as its owner. */
    public fun awaitSettled(limitMillis: Long): Boolean {
        val deadlineNanos = System.nanoTime() + limitMillis * NANOS_PER_MILLI
        while (System.nanoTime() < deadlineNanos) {
            if (isSettled()) return true
            Thread.sleep(SETTLE_POLL_MILLIS)
        }
        return false
    }

    @OptIn(ExperimentalPathApi::class)
    override fun close() {
        nodes.indices.forEach { index -> nodes[index]?.close() }
        platform.close()
        folder.deleteRecursively()
    }

    private fun removeNode(index: Int): Node {
        val node = checkNotNull(nodes[index]) { "node $index is not running" }
        nodes[index] = null
        return node
    }

    private fun isSettled(): Boolean {
        val states = running.map { it.state }
        val partitions =
            states
                .first()
                .settings.membership.regionPartitions
        return states.all { it.config.headRevision > 0 } &&
            partitions.all { partition ->
                val owners = states.filter { it.membership.owned[partition]?.isActive == true }.map { it.self.node }
                owners.size == 1 &&
                    states.all {
                        it.membership.partitions[partition]
                            ?.record
                            ?.ownerNode == owners.single()
                    }
            }
    }

    private fun defaultSettings(index: Int): NodeSettings =
        NodeSettings(
            node = "dev-${index + 1}",
            region = REGION,
            failureDomain = options.failureDomains[index % options.failureDomains.size],
            dataFolder = folder.resolve("dev-${index + 1}").toString(),
            api = ApiSettings(LOOPBACK, apiPort(index), allowUnauthenticated = true),
            peer = PeerSettings(LOOPBACK, freeLoopbackPort()),
            platform = PlatformSettings(platform.keyValueAddress, platform.hostListAddress, platform.weightStoreAddress),
            operators = listOf(OperatorToken("dev", sha256Hex(DEV_OPERATOR_TOKEN))),
            timing = TimingSettings(unreadyBeforeDrainMillis = 0, shutdownLimitMillis = 30_000),
            membership = MembershipSettings(partitionsInUse = DEV_PARTITIONS, startupSettleMillis = 300),
        )

    private fun apiPort(index: Int): Int = if (options.firstApiPort == 0) freeLoopbackPort() else options.firstApiPort + index

    public companion object {
        /** Bearer token of the operator `dev` in a dev cluster. */
        public const val DEV_OPERATOR_TOKEN: String = "dev-operator"
        internal const val REGION = "dev"
        private const val LOOPBACK = "127.0.0.1"
        private const val DEV_PARTITIONS = 24
        private const val START_LIMIT_MILLIS = 30_000L
        private const val SETTLE_POLL_MILLIS = 20L
        private const val NANOS_PER_MILLI = 1_000_000L

        private fun freeLoopbackPort(): Int = java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress()).use { it.localPort }
    }
}

private fun StandinSettings.inRegion(
    region: String,
    domains: List<String>,
): StandinSettings = copy(owners = owners.map { it.copy(region = RegionId(region), failureDomains = domains.map(::FailureDomain)) })
