package lavendertrail.dev

import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import lavendertrail.history.sha256Hex
import lavendertrail.http.HttpClientLimits
import lavendertrail.http.httpClient
import lavendertrail.membership.MembershipSettings
import lavendertrail.model.FailureDomain
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.RegionId
import lavendertrail.settings.ApiSettings
import lavendertrail.settings.NodeSettings
import lavendertrail.settings.OperatorToken
import lavendertrail.settings.PeerSettings
import lavendertrail.settings.PlatformSettings
import lavendertrail.settings.TimingSettings
import lavendertrail.standins.StandinPlatform
import lavendertrail.standins.freePorts
import lavendertrail.standins.standinPlatform
import org.http4k.core.Method
import org.http4k.core.Request
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.io.path.readText
import kotlin.io.path.writeText
import lavendertrail.standins.PlatformSettings as StandinSettings

/** Nodes that run as separate processes, as on hosts, with the stand-ins in the process of the test. */
internal class NodeProcesses(
    private val count: Int,
    standins: StandinSettings,
    private val partitions: Int = 24,
) : AutoCloseable {
    private val folder: Path = Files.createTempDirectory("lavendertrail-processes")
    private val processes = ConcurrentHashMap<Int, Process>()
    private val paused: MutableSet<Int> = ConcurrentHashMap.newKeySet()
    private val http = httpClient(HttpClientLimits(connectMillis = 500, idleMillis = 2_000))
    val platform: StandinPlatform = standinPlatform(standins.inOneRegion())
    private val ports = freePorts(2 * count)
    private val settings = (0 until count).map(::settingsOf)

    init {
        platform.writeRecords()
        settings.forEachIndexed { index, node ->
            settingsFile(index).writeText(Json.encodeToString(NodeSettings.serializer(), node))
        }
    }

    /** API addresses of the nodes that a load balancer would use: neither killed nor paused. */
    fun addresses(): List<String> =
        processes.keys
            .filter { it !in paused }
            .sorted()
            .map(::address)

    fun address(index: Int): String = "${settings[index].api.ip}:${settings[index].api.port}"

    fun start(index: Int) {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val options = listOf("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:ActiveProcessorCount=2")
        val command = listOf(java) + options + listOf("-cp", classPath, "lavendertrail.node.MainKt", "run", settingsFile(index).toString())
        val output = ProcessBuilder.Redirect.appendTo(logFile(index).toFile())
        processes[index] =
            ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
    }

    /** Kills the process without any cleanup, as the failure of a host does. */
    fun kill(index: Int) {
        val process = processes.remove(index) ?: return
        paused.remove(index)
        process.destroyForcibly().waitFor(KILL_LIMIT_SECONDS, TimeUnit.SECONDS)
    }

    fun pause(index: Int) {
        paused.add(index)
        sendSignal(index, "-STOP")
    }

    fun resume(index: Int) {
        sendSignal(index, "-CONT")
        paused.remove(index)
    }

    /** Index of the owner node in the partition record, or null while the record can't be read or names none. */
    fun ownerOf(program: String): Int? = ownerOf(ProgramId(program).partition)

    private fun ownerOf(partition: PartitionId): Int? {
        val stored = platform.keyValue.get("lavendertrail/partitions/${partition.index}").getOrElse { null } ?: return null
        val name =
            Json
                .parseToJsonElement(stored.value)
                .jsonObject["ownerNode"]
                ?.jsonPrimitive
                ?.contentOrNull
        return settings.indexOfFirst { it.node == name }.takeIf { it >= 0 }
    }

    /** Whether all running nodes are ready, own at least one partition each and together own all partitions. */
    fun isSettled(): Boolean {
        val live = processes.keys.filter { it !in paused }.toSet()
        if (!live.all(::isReady)) return false
        return (0 until partitions).map { ownerOf(PartitionId(it)) }.toSet() == live
    }

    fun logs(): String = (0 until count).joinToString("\n") { "--- node $it\n${logFile(it).readTail()}" }

    @OptIn(ExperimentalPathApi::class)
    override fun close() {
        processes.keys.toList().forEach(::kill)
        platform.close()
        folder.deleteRecursively()
    }

    private fun isReady(index: Int): Boolean =
        try {
            http(Request(Method.GET, "http://${address(index)}/readyz")).use { it.status.code == 200 }
        } catch (_: java.io.IOException) {
            false
        }

    private fun sendSignal(
        index: Int,
        name: String,
    ) {
        val process = checkNotNull(processes[index]) { "node $index is not running" }
        check(ProcessBuilder("kill", name, process.pid().toString()).start().waitFor() == 0) { "kill $name failed for node $index" }
    }

    private fun settingsFile(index: Int): Path = folder.resolve("node-$index.json")

    private fun logFile(index: Int): Path = folder.resolve("node-$index.log")

    private fun settingsOf(index: Int): NodeSettings =
        NodeSettings(
            node = "node-$index",
            region = REGION,
            failureDomain = DOMAINS[index % DOMAINS.size],
            dataFolder = folder.resolve("data-$index").also { Files.createDirectories(it) }.toString(),
            api = ApiSettings(LOOPBACK, ports[2 * index], allowUnauthenticated = true),
            peer = PeerSettings(LOOPBACK, ports[2 * index + 1]),
            platform = PlatformSettings(platform.keyValueAddress, platform.hostListAddress, platform.weightStoreAddress),
            operators = listOf(OperatorToken("test", sha256Hex("test-operator"))),
            timing = TimingSettings(leaseTtlMillis = LEASE_MILLIS, leaseRenewMillis = LEASE_MILLIS / 3),
            membership = MembershipSettings(partitionsInUse = partitions, startupSettleMillis = 300, rebalanceMillis = 1_000),
        )

    private fun StandinSettings.inOneRegion(): StandinSettings =
        copy(owners = owners.map { it.copy(region = RegionId(REGION), failureDomains = DOMAINS.map(::FailureDomain)) })

    companion object {
        const val LEASE_MILLIS = 3_000L
        private const val REGION = "dev"
        private const val LOOPBACK = "127.0.0.1"
        private const val KILL_LIMIT_SECONDS = 10L
        private val DOMAINS = listOf("dev-a", "dev-b", "dev-c")
    }
}

private fun Path.readTail(): String = if (Files.exists(this)) readText().lines().takeLast(40).joinToString("\n") else ""
