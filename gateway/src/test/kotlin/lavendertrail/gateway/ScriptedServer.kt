package lavendertrail.gateway

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A backend server that responds to each request with the text that [respond] returns; null closes the connection. */
internal class ScriptedServer(
    private val respond: (head: String, body: String) -> String?,
) : AutoCloseable {
    private val socket = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${socket.localPort}"

    /** Heads and bodies of the received requests in the order of arrival. */
    val requests = CopyOnWriteArrayList<Pair<String, String>>()

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                val connection = runCatching { socket.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { connection.use { serve(it) } }
            }
        }
    }

    private fun serve(connection: Socket) {
        while (true) {
            val (head, body) = connection.getInputStream().readMessage() ?: return
            requests += head to body
            val text = respond(head, body) ?: return
            connection.getOutputStream().write(text.removeSuffix(CLOSE_MARKER).toByteArray())
            connection.getOutputStream().flush()
            if (text.endsWith(CLOSE_MARKER)) return
        }
    }

    override fun close() = socket.close()
}

/** Reads one HTTP message with a fixed-length or chunked body; null at the end of the connection. */
internal fun InputStream.readMessage(): Pair<String, String>? {
    val head = readThrough("\r\n\r\n") ?: return null
    val length =
        Regex("(?i)content-length: *(\\d+)")
            .find(head)
            ?.groupValues
            ?.get(1)
            ?.toInt() ?: 0
    if (!head.contains("chunked", ignoreCase = true)) return head to String(readNBytes(length))
    val body = StringBuilder()
    while (true) {
        val size = (readThrough("\r\n") ?: return null).trim().toInt(16)
        body.append(String(readNBytes(size)))
        readNBytes(2)
        if (size == 0) return head to body.toString()
    }
}

private fun InputStream.readThrough(end: String): String? {
    val text = StringBuilder()
    while (!text.endsWith(end)) {
        val next = read()
        if (next < 0) return null
        text.append(next.toChar())
    }
    return text.toString()
}

/** Suffix of a scripted response after which the server closes the connection. */
internal const val CLOSE_MARKER = "\u0000"
