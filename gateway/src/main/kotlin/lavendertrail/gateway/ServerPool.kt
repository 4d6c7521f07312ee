package lavendertrail.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import lavendertrail.model.StepError
import lavendertrail.serving.BackendServer

/**
 * Pool of idle connections to backend servers, keyed by server id. Connections of a removed server are closed, since its address
 * may be reassigned to another server.
 */
internal class ServerPool(
    private val connector: ServerConnector,
    private val nowMillis: () -> Long,
) {
    private val idleConnections = mutableMapOf<String, ArrayDeque<ServerConnection>>()

    /**
     * Passes an open connection to [server] to [onResult], or the error of a failed connection attempt. A connection that has
     * carried a request with the same [attemptId] is not used: a late copy of its response would be taken for that of the new
     * request.
     */
    fun acquire(
        server: BackendServer,
        attemptId: String,
        onResult: (Result<ServerConnection, StepError>) -> Unit,
    ) {
        val reused = takeIdle(server.id, attemptId)
        if (reused != null) return onResult(Ok(reused))
        connector.connect(server.address, { addIdle(server.id, it) }, onResult)
    }

    fun closeIdleConnections(serverId: String) {
        idleConnections.remove(serverId)?.forEach { it.abandon() }
    }

    /** Closes idle connections whose keep-alive time at the server is about to end. */
    fun closeExpired() {
        for (connections in idleConnections.values) {
            while (connections.isNotEmpty() && !connections.first().isWithinKeepAlive()) connections.removeFirst().abandon()
        }
    }

    private fun takeIdle(
        serverId: String,
        attemptId: String,
    ): ServerConnection? {
        val connections = idleConnections[serverId] ?: return null
        while (true) {
            // The most recently used connection is the least likely to be closed by the server.
            val index = connections.indexOfLast { !it.hasCarried(attemptId) }
            if (index < 0) return null
            val connection = connections.removeAt(index)
            if (connection.isUsable && connection.isWithinKeepAlive()) return connection
            connection.abandon()
        }
    }

    private fun addIdle(
        serverId: String,
        connection: ServerConnection,
    ) {
        connection.idleSinceMillis = nowMillis()
        idleConnections.getOrPut(serverId) { ArrayDeque() }.addLast(connection)
    }

    private fun ServerConnection.isWithinKeepAlive(): Boolean {
        val limitMillis = (keepAliveMillis ?: DEFAULT_KEEP_ALIVE_MILLIS) - KEEP_ALIVE_MARGIN_MILLIS
        return nowMillis() - idleSinceMillis < limitMillis.coerceAtLeast(KEEP_ALIVE_MARGIN_MILLIS)
    }

    private companion object {
        /** Assumed for servers that send no keep-alive timeout; a common default among HTTP servers. */
        const val DEFAULT_KEEP_ALIVE_MILLIS = 5_000L

        /** Covers the network latency to the server and the rounding of its timeout to whole seconds. */
        const val KEEP_ALIVE_MARGIN_MILLIS = 700L
    }
}
