package lavendertrail.http

import org.http4k.core.Method
import org.http4k.core.Request
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Guards against taking a response without a valid status, such as 000, for an answer, and against connections that it leaves behind. */
class InvalidStatusTest {
    private val statuses = listOf("000", "000 OK", "0", "012 x", "099 x", "20 OK", "600 x", "999 x", "2000 OK", "-200 OK", "OK", "")
    private val bodies =
        listOf(
            "Content-Length: 4\r\n\r\nbody",
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "\r\nbody",
        )

    @Test
    fun `a response without a valid status is an error on new and on kept connections`() {
        for (status in statuses) {
            for (body in bodies) {
                for (keptBefore in listOf(false, true)) {
                    val case = "status '$status', kept $keptBefore, ${body.take(10)}"
                    AnsweringServer("HTTP/1.1 $status\r\n$body", if (keptBefore) 1 else 0).use { server ->
                        val client = httpClient(HttpClientLimits(connectMillis = 500, idleMillis = 2_000, maxConnections = 1))
                        if (keptBefore) client(Request(Method.POST, server.url)).use { assertEquals("fine", it.bodyString()) }
                        val failure = assertFailsWith<HttpCallException>(case) { client(Request(Method.POST, server.url)).close() }
                        assertTrue(failure.sent, case)
                        // The only connection of the pool is free again.
                        client(Request(Method.POST, server.url)).use { assertEquals("fine", it.bodyString(), case) }
                    }
                }
            }
        }
    }

    /** Answers the request after the first [fineBefore] ones with [answer] and closes the connection, and all others with "fine". */
    private class AnsweringServer(
        private val answer: String,
        private val fineBefore: Int,
    ) : AutoCloseable {
        private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
        val url = "http://127.0.0.1:${listener.localPort}/"

        init {
            thread(isDaemon = true) {
                var number = 0
                while (!listener.isClosed) {
                    val connection = runCatching { listener.accept() }.getOrNull() ?: break
                    connection.use {
                        val input = it.getInputStream().bufferedReader()
                        while (true) {
                            if (generateSequence { input.readLine() }.takeWhile { line -> line.isNotEmpty() }.count() == 0) break
                            val isAnswer = number++ == fineBefore
                            it.getOutputStream().write((if (isAnswer) answer else FINE).toByteArray())
                            if (isAnswer) break
                        }
                    }
                }
            }
        }

        override fun close() = listener.close()

        private companion object {
            const val BACKLOG = 5
            const val FINE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
        }
    }
}
