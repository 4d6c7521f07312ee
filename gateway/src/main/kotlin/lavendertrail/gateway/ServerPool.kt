package lavendertrail.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import lavendertrail.model.StepError
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ServerRun
import lavendertrail.serving.serverRun

/**
 * Pool of idle connections to backend servers, one list for each run of a server: a connection that was in use while another run took
 * the server's id still leads to the earlier run. Connections of a removed server are closed, since its address may be reassigned to
 * another server.
 */
internal class ServerPool(
    private val connector: ServerConnector,
    private val nowMillis: () -> Long,
) {
    private val idleConnections = mutableMapOf<ServerRun, ArrayDeque<ServerConnection>>()

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
        val reused = takeIdle(server.serverRun, attemptId)
        if (reused != null) return onResult(Ok(reused))
        connector.connect(server.address, { addIdle(server.serverRun, it) }, onResult)
    }

    fun closeIdleConnections(serverId: String) {
        val runs = idleConnections.keys.filter { it.id == serverId }
        runs.forEach { run -> idleConnections.remove(run)?.forEach { it.abandon() } }
    }

    /** Closes idle connections whose keep-alive time at the server is about to end. */
    fun closeExpired() {
        for (connections in idleConnections.values) {
            while (connections.isNotEmpty() && !connections.first().isWithinKeepAlive()) connections.removeFirst().abandon()
        }
        idleConnections.values.removeIf { it.isEmpty() }
    }

    private fun takeIdle(
        run: ServerRun,
        attemptId: String,
    ): ServerConnection? {
        val connections = idleConnections[run] ?: return null
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
        run: ServerRun,
        connection: ServerConnection,
    ) {
        connection.idleSinceMillis = nowMillis()
        idleConnections.getOrPut(run) { ArrayDeque() }.addLast(connection)
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
