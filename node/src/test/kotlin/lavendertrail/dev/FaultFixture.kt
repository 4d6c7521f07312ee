package lavendertrail.dev

import lavendertrail.model.ServerId
import lavendertrail.standins.EngineStandin
import lavendertrail.standins.PlatformPresets

/** Three nodes in one process, a client of the caller API and one of the operator API. */
internal class FaultFixture(
    timeScale: Double = 10.0,
    adapt: (lavendertrail.settings.NodeSettings) -> lavendertrail.settings.NodeSettings = { it },
) : AutoCloseable {
    val cluster = DevCluster(DevOptions(platform = PlatformPresets.small(timeScale = timeScale), adapt = adapt))
    val caller = RetryingCaller(cluster::addresses)
    val api: ApiCaller get() = caller.api
    val operator = ApiCaller(cluster::addresses, DevCluster.DEV_OPERATOR_TOKEN)

    init {
        cluster.start()
    }

    fun engines(model: String): List<EngineStandin> =
        cluster.platform.engines
            .filter { it.model.value == model }
            .map { it.standin }

    fun engine(server: String): EngineStandin = cluster.platform.engine(server).standin

    /** Index of the running node at which the partition of [program] is active. */
    fun ownerOf(program: String): Int =
        (0 until NODES).first { index ->
            cluster
                .node(index)
                ?.state
                ?.membership
                ?.owned
                ?.get(lavendertrail.model.ProgramId(program).partition)
                ?.isActive == true
        }

    fun addressOf(index: Int): String = checkNotNull(cluster.node(index)).apiAddress

    fun knowsServer(server: String): Boolean = cluster.running.all { ServerId(server) in it.state.config.servers }

    override fun close(): Unit = cluster.close()

    companion object {
        const val NODES = 3
    }
}
