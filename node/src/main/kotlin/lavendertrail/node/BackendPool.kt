package lavendertrail.node

import lavendertrail.config.ServerRecord
import lavendertrail.model.ServerId
import lavendertrail.ports.ModelEngine
import lavendertrail.ports.ToolService
import lavendertrail.reducer.NodeState
import java.util.concurrent.ConcurrentHashMap

/** Connections to backend servers, opened by their current records; a changed address gets a new connection. */
internal class BackendPool(
    private val platform: Platform,
    private val state: () -> NodeState,
) : AutoCloseable {
    private class Connection<T : AutoCloseable>(
        val address: String,
        val service: T,
        @Volatile var lastUsedNanos: Long,
    )

    private val engines = ConcurrentHashMap<ServerId, Connection<ModelEngine>>()
    private val tools = ConcurrentHashMap<ServerId, Connection<ToolService>>()

    /** Engines that this node has used within [withinNanos]; only these are asked for cache events. */
    fun recentEngines(withinNanos: Long): List<ServerId> {
        val now = System.nanoTime()
        return engines.filterValues { now - it.lastUsedNanos < withinNanos }.keys.toList()
    }

    /** Null if no record names [server]. [markUsed] renews the time of last use for [recentEngines]. */
    fun engine(
        server: ServerId,
        markUsed: Boolean = false,
    ): ModelEngine? = connect(engines, server, platform.engine)?.also { if (markUsed) it.lastUsedNanos = System.nanoTime() }?.service

    fun tool(server: ServerId): ToolService? = connect(tools, server, platform.tool)?.service

    override fun close() {
        engines.values.forEach { it.service.close() }
        tools.values.forEach { it.service.close() }
    }

    private fun <T : AutoCloseable> connect(
        connections: ConcurrentHashMap<ServerId, Connection<T>>,
        server: ServerId,
        open: (ServerRecord) -> T,
    ): Connection<T>? {
        val record = state().config.servers[server] ?: return null
        return connections.compute(server) { _, existing ->
            if (existing?.address == record.address) {
                existing
            } else {
                existing?.service?.close()
                Connection(record.address, open(record), System.nanoTime())
            }
        }
    }
}
