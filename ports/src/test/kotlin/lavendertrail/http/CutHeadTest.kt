package lavendertrail.http

import org.http4k.core.Method
import org.http4k.core.Request
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Guards against taking a response whose head was cut off for a whole one with an empty or short body. */
class CutHeadTest {
    private val heads =
        mapOf(
            "length last" to "HTTP/1.1 200 OK\r\nX-Mark: 1\r\nContent-Length: 12\r\n\r\n",
            "length first" to "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Mark: 1\r\n\r\n",
            "chunks" to "HTTP/1.1 200 OK\r\nX-Mark: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "neither" to "HTTP/1.1 200 OK\r\nX-Mark: 1\r\n\r\n",
            "after an informational response" to "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
            "failure" to "HTTP/1.1 500 Error\r\nX-Mark: 1\r\nContent-Length: 12\r\n\r\n",
        )

    @Test
    fun `a response whose head was cut off at any byte is an error on new and on kept connections`() {
        val client = httpClient(HttpClientLimits(idleMillis = 3_000))
        for ((kind, head) in heads) {
            for (keptBefore in listOf(false, true)) {
                for (bytes in 0 until head.length) {
                    CuttingServer(head.take(bytes), keptBefore).use { server ->
                        if (keptBefore) client(Request(Method.POST, server.url)).use { assertEquals("first", it.bodyString()) }
                        assertFailsWith<IOException>("$kind, $bytes bytes, kept $keptBefore") {
                            client(Request(Method.POST, server.url)).use { it.body.stream.readAllBytes() }
                        }
                    }
                }
            }
        }
    }

    @Test
    fun `a response that was cut off within its body is an error`() {
        val client = httpClient(HttpClientLimits(idleMillis = 3_000))
        val responses = listOf(heads.getValue("length last") + "short", heads.getValue("chunks") + "c\r\nshort")
        for (response in responses) {
            CuttingServer(response, hasFirstResponse = false).use { server ->
                assertFailsWith<IOException>(response) { client(Request(Method.POST, server.url)).use { it.body.stream.readAllBytes() } }
            }
        }
    }

    /** Answers with [cut] and closes the connection, on a first request or after a whole response to one before. */
    private class CuttingServer(
        private val cut: String,
        private val hasFirstResponse: Boolean,
    ) : AutoCloseable {
        private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
        val url = "http://127.0.0.1:${listener.localPort}/"

        init {
            thread(isDaemon = true) {
                listener.accept().use { connection ->
                    if (hasFirstResponse) connection.answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
                    connection.answer(cut)
                }
            }
        }

        private fun Socket.answer(response: String) {
            var received = ""
            while (!received.endsWith("\r\n\r\n")) received += getInputStream().read().toChar()
            getOutputStream().write(response.toByteArray())
            getOutputStream().flush()
        }

        override fun close() = listener.close()
    }

    private companion object {
        const val BACKLOG = 1
    }
}
