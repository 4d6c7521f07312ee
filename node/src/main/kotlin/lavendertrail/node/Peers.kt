package lavendertrail.node

import lavendertrail.model.NodeId
import lavendertrail.peer.PeerService
import lavendertrail.reducer.NodeState
import java.util.concurrent.ConcurrentHashMap

/** Connections to other nodes, opened by their current records; a changed address gets a new connection. */
internal class Peers(
    private val state: () -> NodeState,
    private val connect: (String) -> PeerService,
) : AutoCloseable {
    private class Connection(
        val address: String,
        val service: PeerService,
    )

    private val connections = ConcurrentHashMap<NodeId, Connection>()

    /** Null if no record names [peer]. */
    fun peer(peer: NodeId): PeerService? {
        val address = state().membership.nodeRecord(peer)?.peerAddress ?: return null
        val existing = connections[peer]
        if (existing?.address == address) return existing.service
        return connections
            .compute(peer) { _, current ->
                if (current?.address == address) {
                    current
                } else {
                    current?.close()
                    Connection(address, connect(address))
                }
            }?.service
    }

    /** Closes connections to nodes that no longer have a record. */
    fun sweep() {
        val live = state().membership.peers
        connections.keys.filter { it !in live }.forEach { connections.remove(it)?.close() }
    }

    override fun close(): Unit = connections.values.forEach { it.close() }

    private fun Connection.close() {
        (service as? AutoCloseable)?.close()
    }
}
