package lavendertrail.http

import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class HttpClientTest {
    private enum class Peer { CLOSED_PORT, CLOSES_AFTER_REQUEST, SENDS_NOTHING, SENDS_INVALID_RESPONSE }

    private data class Case(
        val peer: Peer,
        val sent: Boolean,
        val timedOut: Boolean,
    )

    /** Guards against reporting a request as not sent although it may have been executed. */
    @Test
    fun `a call without a response reports whether the request was sent`() {
        val client = httpClient(HttpClientLimits(connectMillis = 300, idleMillis = 300))
        listOf(
            Case(Peer.CLOSED_PORT, sent = false, timedOut = false),
            Case(Peer.CLOSES_AFTER_REQUEST, sent = true, timedOut = false),
            Case(Peer.SENDS_NOTHING, sent = true, timedOut = true),
            Case(Peer.SENDS_INVALID_RESPONSE, sent = true, timedOut = false),
        ).forEach { case ->
            RawServer(case.peer).use { server ->
                val error = assertFailsWith<HttpCallException> { client(Request(Method.POST, server.url).body("x")) }
                assertEquals(case, Case(case.peer, error.sent, error.timedOut))
            }
        }
    }

    /** Guards against automatic retries by the client library, which would execute a call twice. */
    @Test
    fun `a request is never sent twice`() {
        RawServer(Peer.CLOSES_AFTER_REQUEST).use { server ->
            val client = httpClient()
            listOf(Method.GET, Method.PUT, Method.POST).forEach { method ->
                val before = server.requests.get()
                assertFailsWith<HttpCallException> { client(Request(method, server.url)) }
                Thread.sleep(50)
                assertEquals(before + 1, server.requests.get(), "requests after $method")
            }
        }
    }

    /** Guards against sending a call over a pooled connection that the server has closed: it would be unknown whether the call ran. */
    @Test
    fun `a pooled connection that the server closed is not used`() {
        val client = httpClient(HttpClientLimits(validateAfterMillis = 0))
        var server = httpServer(HttpBinding("127.0.0.1", 0)) { Response(Status.OK).body("first") }
        val port = server.port
        val request = Request(Method.POST, "http://127.0.0.1:$port/").body("x")
        client(request).use { assertEquals("first", it.bodyString()) }
        server.stop()
        server = httpServer(HttpBinding("127.0.0.1", port)) { Response(Status.OK).body("second") }
        server.use { client(request).use { assertEquals("second", it.bodyString()) } }
    }

    /** Guards against a single idle limit for all requests: a tool call may take minutes, a load report must not. */
    @Test
    fun `the idle limit of a request also applies between two chunks`() {
        val stream = ChunkStream()
        withServer({ Response(Status.OK).body(Body(stream)) }) { url ->
            val response = httpClient()(Request(Method.GET, url).withIdleLimit(200))
            stream.send("a")
            assertEquals("a", response.body.stream.readText(1))
            val start = System.nanoTime()
            assertFailsWith<IOException> { response.body.stream.read() }
            val waitedMillis = (System.nanoTime() - start) / 1_000_000
            assertTrue(waitedMillis in 100..2_000, "waited $waitedMillis ms")
            response.close()
        }
    }

    /** Guards against a close that first reads the rest of an endless stream. */
    @Test
    fun `closing a response fails a concurrent read of its stream`() {
        val stream = ChunkStream()
        withServer({ Response(Status.OK).body(Body(stream)) }) { url ->
            val response = httpClient()(Request(Method.GET, url))
            var failure: Throwable? = null
            val reader = thread { failure = runCatching { response.body.stream.read() }.exceptionOrNull() }
            Thread.sleep(100)
            response.close()
            reader.join(2_000)
            assertTrue(failure is IOException, "reader ended with $failure")
        }
    }

    /** Guards against leaking a connection for each response that was read to its end. */
    @Test
    fun `a connection is reused after a response was read to its end`() {
        val answers = mutableListOf<String>()
        withServer({ Response(Status.OK).body("ok") }) { url ->
            val client = httpClient(HttpClientLimits(maxConnections = 1))
            repeat(20) { client(Request(Method.GET, url)).use { answers.add(it.bodyString()) } }
        }
        assertEquals(List(20) { "ok" }, answers)
    }

    private fun withServer(
        handler: HttpHandler,
        action: (String) -> Unit,
    ) {
        httpServer(HttpBinding("127.0.0.1", 0), HttpServerLimits(), handler).use { action("http://127.0.0.1:${it.port}/") }
    }

    /** A plain socket server that reads the beginning of each request and then behaves as [peer] says. */
    private class RawServer(
        private val peer: Peer,
    ) : AutoCloseable {
        private val socket = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val requests = AtomicInteger()
        val url = "http://127.0.0.1:${socket.localPort}/"

        init {
            if (peer == Peer.CLOSED_PORT) socket.close() else thread(isDaemon = true) { acceptLoop() }
        }

        override fun close() = socket.close()

        private fun acceptLoop() {
            while (!socket.isClosed) {
                val connection = runCatching { socket.accept() }.getOrNull() ?: return
                if (connection.getInputStream().read(ByteArray(4_096)) > 0) requests.incrementAndGet()
                if (peer == Peer.SENDS_INVALID_RESPONSE) connection.getOutputStream().write("no http at all\r\n\r\n".toByteArray())
                if (peer != Peer.SENDS_NOTHING) connection.close()
            }
        }
    }
}
