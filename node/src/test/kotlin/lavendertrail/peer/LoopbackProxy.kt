package lavendertrail.peer

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** TCP proxy to [targetPort] that counts bytes and can stall existing connections without closing them. */
internal class LoopbackProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private class ProxiedConnection(
        val sockets: List<Socket>,
        val isStalled: AtomicBoolean = AtomicBoolean(),
    )

    private val loopback = InetAddress.getLoopbackAddress()
    private val server = ServerSocket(0, 16, loopback)
    private val proxiedConnections = CopyOnWriteArrayList<ProxiedConnection>()
    val byteCount = AtomicLong()
    val connectionCount get() = proxiedConnections.size
    val address get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) { runCatching { while (true) connect(server.accept()) } }
    }

    fun stallConnections() = proxiedConnections.forEach { it.isStalled.set(true) }

    override fun close() {
        server.close()
        proxiedConnections.flatMap { it.sockets }.forEach { it.close() }
    }

    private fun connect(client: Socket) {
        val target = Socket(loopback, targetPort)
        val connection = ProxiedConnection(listOf(client, target))
        proxiedConnections += connection
        thread(isDaemon = true) { forward(client, target, connection) }
        thread(isDaemon = true) { forward(target, client, connection) }
    }

    private fun forward(
        from: Socket,
        to: Socket,
        connection: ProxiedConnection,
    ) {
        val buffer = ByteArray(64 * 1024)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                byteCount.addAndGet(count.toLong())
                if (!connection.isStalled.get()) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side closed the connection.
        }
        if (!connection.isStalled.get()) connection.sockets.forEach { it.close() }
    }
}
