package lavendertrail.peer

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/** Passes connections on to [targetPort], counts their bytes and can make those that exist silent without closing them. */
internal class LoopbackProxy(
    private val targetPort: Int,
) : AutoCloseable {
    private class Link(
        val sockets: List<Socket>,
        val silent: AtomicBoolean = AtomicBoolean(),
    )

    private val loopback = InetAddress.getLoopbackAddress()
    private val server = ServerSocket(0, 16, loopback)
    private val links = CopyOnWriteArrayList<Link>()
    val bytes = AtomicLong()
    val connections get() = links.size
    val address get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) { runCatching { while (true) connect(server.accept()) } }
    }

    fun silenceConnections() = links.forEach { it.silent.set(true) }

    override fun close() {
        server.close()
        links.flatMap { it.sockets }.forEach { it.close() }
    }

    private fun connect(client: Socket) {
        val target = Socket(loopback, targetPort)
        val link = Link(listOf(client, target))
        links += link
        thread(isDaemon = true) { pass(client, target, link) }
        thread(isDaemon = true) { pass(target, client, link) }
    }

    private fun pass(
        from: Socket,
        to: Socket,
        link: Link,
    ) {
        val buffer = ByteArray(64 * 1024)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                bytes.addAndGet(count.toLong())
                if (!link.silent.get()) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side closed the connection.
        }
        if (!link.silent.get()) link.sockets.forEach { it.close() }
    }
}
