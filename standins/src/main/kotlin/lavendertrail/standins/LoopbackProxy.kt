package lavendertrail.standins

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * Forwards connections to another loopback port and can simulate a network that drops all traffic: while silent, no byte
 * arrives on either side, although connections stay open and new ones are accepted.
 */
public class LoopbackProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val acceptor = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    public var isSilent: Boolean = false
        private set

    public val port: Int get() = acceptor.localPort

    init {
        thread(name = "loopback-proxy", isDaemon = true) {
            while (!acceptor.isClosed) {
                try {
                    forward(acceptor.accept())
                } catch (_: IOException) {
                    // The proxy is being closed, or the target refused the connection and the caller's socket has been closed.
                }
            }
        }
    }

    private fun forward(caller: Socket) {
        val target =
            try {
                Socket(InetAddress.getLoopbackAddress(), targetPort)
            } catch (e: IOException) {
                caller.close()
                throw e
            }
        sockets += listOf(caller, target)
        pump(caller, target)
        pump(target, caller)
    }

    private fun pump(
        from: Socket,
        to: Socket,
    ) {
        thread(name = "loopback-pump", isDaemon = true) {
            try {
                val buffer = ByteArray(BUFFER_BYTES)
                while (true) {
                    val size = from.getInputStream().read(buffer)
                    while (isSilent) Thread.sleep(SILENT_POLL_MILLIS)
                    if (size < 0) break
                    to.getOutputStream().write(buffer, 0, size)
                }
            } catch (_: IOException) {
                // Either side has closed; both are closed below.
            }
            sockets -= setOf(from, to)
            from.close()
            to.close()
        }
    }

    /** Stops forwarding bytes in both directions; bytes are held back until [resume]. */
    public fun silence() {
        isSilent = true
    }

    /** Forwards bytes again, starting with those held back. */
    public fun resume() {
        isSilent = false
    }

    /** Resets all open connections on both sides; new ones are accepted. */
    public fun resetConnections() {
        val open = sockets.toList()
        for (socket in open) {
            try {
                // With a linger time of zero, closing sends a reset.
                socket.setSoLinger(true, 0)
            } catch (_: SocketException) {
                // The connection has ended meanwhile.
            }
        }
        // Closed only now, since a pump closes the other side of a connection as soon as one is closed.
        open.forEach { it.close() }
    }

    override fun close() {
        isSilent = false
        acceptor.close()
        sockets.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 64
        const val BUFFER_BYTES = 16 * 1024
        const val SILENT_POLL_MILLIS = 10L
    }
}
