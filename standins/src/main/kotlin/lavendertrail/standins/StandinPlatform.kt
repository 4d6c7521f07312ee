package lavendertrail.standins

import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.ServerId
import lavendertrail.model.ToolId
import lavendertrail.ports.HostListing

/** A stand-in engine that listens at [address]. */
public class RunningEngine internal constructor(
    public val server: ServerId,
    public val model: ModelId,
    public val failureDomain: FailureDomain,
    public val standin: EngineStandin,
    internal val http: StandinServer,
) {
    public val address: String get() = http.address
}

/** One server of a stand-in tool service that listens at [address]. */
public class RunningTool internal constructor(
    public val server: ServerId,
    public val tool: ToolId,
    public val failureDomain: FailureDomain,
    public val standin: ToolStandin,
    internal val http: StandinServer,
) {
    public val address: String get() = http.address
}

/**
 * All external systems as HTTP servers on loopback. [records] is the matching configuration.
 *
 * ```kotlin
 * standinPlatform(PlatformPresets.small(timeScale = 20.0)).use { platform ->
 *     val service = httpKeyValueService(platform.keyValueAddress)
 *     platform.writeRecords()
 *     platform.engine("assist-model-1").standin.crash()
 * }
 * ```
 */
public class StandinPlatform internal constructor(
    public val settings: PlatformSettings,
    public val keyValue: KeyValueStandin,
    public val hostList: HostListStandin,
    public val weightStore: WeightStoreStandin,
    public val engines: List<RunningEngine>,
    public val tools: List<RunningTool>,
    public val records: List<PlatformRecord>,
    private val keyValueServer: StandinServer,
    private val hostListServer: StandinServer,
    private val weightStoreServer: StandinServer,
) : AutoCloseable {
    public val keyValueAddress: String get() = keyValueServer.address
    public val hostListAddress: String get() = hostListServer.address
    public val weightStoreAddress: String get() = weightStoreServer.address

    public fun engine(server: String): RunningEngine = engines.single { it.server.value == server }

    public fun tool(server: String): RunningTool = tools.single { it.server.value == server }

    /** All executions of [tool] at any of its servers. */
    public fun executionsOf(tool: ToolId): List<ToolExecution> = tools.filter { it.tool == tool }.flatMap { it.standin.executions }

    /** Writes those [records] to the key-value service that don't exist there yet. */
    public fun writeRecords() {
        records.forEach { keyValue.swap(it.key, 0, it.json) }
    }

    /** Marks a server as leaving: in its load report immediately, in the host list after the lag of the list. */
    public fun leave(server: String) {
        engines.find { it.server.value == server }?.let { it.standin.faults.leaving = true }
        hostList.leave(server)
    }

    /** Takes down all engines and tools of [domain] until [restoreDomain], to simulate a power failure in a data hall. */
    public fun failDomain(domain: FailureDomain) {
        engines.filter { it.failureDomain == domain }.forEach {
            it.standin.restartsAutomatically = false
            it.standin.crash()
        }
        tools.filter { it.failureDomain == domain }.forEach { it.http.takeDown() }
    }

    public fun restoreDomain(domain: FailureDomain) {
        engines.filter { it.failureDomain == domain }.forEach {
            it.standin.restart()
            it.standin.restartsAutomatically = true
        }
        tools.filter { it.failureDomain == domain }.forEach { it.http.bringUp() }
    }

    override fun close() {
        engines.forEach {
            it.standin.restartsAutomatically = false
            it.http.close()
            it.standin.close()
        }
        tools.forEach { it.http.close() }
        listOf(keyValueServer, hostListServer, weightStoreServer).forEach { it.close() }
        keyValue.close()
    }
}

/** Starts all services of [settings] on free loopback ports. */
public fun standinPlatform(settings: PlatformSettings): StandinPlatform {
    val engines = settings.owners.associateWith { it.startEngines(settings) }
    val tools = settings.owners.associateWith { it.startTools(settings) }
    val servers = engines.values.flatten().map { it.server.value } + tools.values.flatten().map { it.server.value }
    val keyValue = KeyValueStandin(settings.keyValue)
    val hostList = HostListStandin(HostListing(servers.toSet(), emptySet()), settings.hostListLagMillis)
    val weightStore = WeightStoreStandin(slots = settings.downloadSlots, timeScale = settings.timeScale)
    return StandinPlatform(
        settings = settings,
        keyValue = keyValue,
        hostList = hostList,
        weightStore = weightStore,
        engines = engines.values.flatten(),
        tools = tools.values.flatten(),
        records = settings.owners.flatMap { it.records(engines.getValue(it), tools.getValue(it), settings.timeScale) },
        keyValueServer = serveKeyValue(keyValue),
        hostListServer = serveHostList(hostList),
        weightStoreServer = serveWeightStore(weightStore),
    )
}

private fun OwnerGroup.startEngines(settings: PlatformSettings): List<RunningEngine> =
    models.flatMap { group ->
        (1..group.engines).map { number ->
            val server = ServerId("${group.model}-$number")
            val standin =
                EngineStandin(
                    group.engine.copy(server = server, models = listOf(group.model), timeScale = settings.timeScale, seed = settings.seed),
                )
            RunningEngine(server, group.model, failureDomainAt(number - 1), standin, serveEngine(standin))
        }
    }

private fun OwnerGroup.startTools(settings: PlatformSettings): List<RunningTool> =
    tools.flatMap { group ->
        (1..group.servers).map { number ->
            val server = ServerId("${group.tool}-$number")
            val standin = ToolStandin(group.settings.copy(timeScale = settings.timeScale), settings.seed + server.value.hashCode())
            RunningTool(server, group.tool, failureDomainAt(number - 1), standin, serveTool(standin))
        }
    }
