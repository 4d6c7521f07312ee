package lavendertrail.http

import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class HttpServerTest {
    private val client = httpClient(HttpClientLimits(idleMillis = 5_000))

    /** Guards against a server or client that buffers or delays chunks: each is sent only after the previous one was read. */
    @Test
    fun `each chunk reaches the client before the next one is sent`() {
        val stream = ChunkStream()
        withServer({ Response(Status.OK).body(Body(stream)) }) { url ->
            client(Request(Method.GET, url)).use { response ->
                val start = System.nanoTime()
                repeat(50) { number ->
                    stream.send("chunk $number;")
                    assertEquals("chunk $number;", response.body.stream.readText("chunk $number;".length))
                }
                val millis = (System.nanoTime() - start) / 1_000_000
                assertTrue(millis < 2_000, "50 chunks sent one by one took $millis ms")
                stream.end()
                assertEquals(-1, response.body.stream.read())
            }
        }
    }

    /** Guards against buffering in the code path for plain input streams. */
    @Test
    fun `a plain input stream is flushed after each read`() {
        val blocks = ConcurrentLinkedQueue(listOf("first;", "second;"))
        val readPermits = java.util.concurrent.Semaphore(1)
        val source =
            object : InputStream() {
                override fun read(): Int = error("expected a read into a buffer, got a read of a single byte")

                override fun read(
                    buffer: ByteArray,
                    start: Int,
                    length: Int,
                ): Int {
                    readPermits.acquire()
                    val bytes = blocks.poll()?.toByteArray() ?: return -1
                    bytes.copyInto(buffer, start)
                    return bytes.size
                }
            }
        withServer({ Response(Status.OK).body(Body(source)) }) { url ->
            client(Request(Method.GET, url)).use { response ->
                assertEquals("first;", response.body.stream.readText(6))
                readPermits.release()
                assertEquals("second;", response.body.stream.readText(7))
                readPermits.release()
                assertEquals(-1, response.body.stream.read())
            }
        }
    }

    /** Guards against the read timeout, which is meant for slow requests, closing a response stream that is idle for longer. */
    @Test
    fun `a stream that is idle for longer than the read timeout stays open`() {
        val stream = ChunkStream()
        withServer({ Response(Status.OK).body(Body(stream)) }, HttpServerLimits(readTimeoutMillis = 200)) { url ->
            client(Request(Method.GET, url)).use { response ->
                stream.send("a")
                assertEquals("a", response.body.stream.readText(1))
                Thread.sleep(900)
                stream.send("b")
                stream.end()
                assertEquals("b", response.body.stream.readText(1))
            }
        }
    }

    /** Guards against one thread per open stream, which would limit the number of open streams to the number of threads. */
    @Test
    fun `400 open streams do not need one thread each`() {
        val streams = ConcurrentLinkedQueue<ChunkStream>()
        val handler: HttpHandler = { Response(Status.OK).body(Body(ChunkStream().also(streams::add))) }
        withServer(handler, HttpServerLimits(workerThreads = 8)) { url ->
            val open = (1..400).map { client(Request(Method.GET, url)) }
            val threads = Thread.getAllStackTraces().keys.count { it.name.startsWith("XNIO") }
            assertTrue(threads < 40, "server threads: $threads")
            streams.forEach { it.send("x") }
            open.forEach { assertEquals("x", it.body.stream.readText(1)) }
            streams.forEach { it.end() }
            open.forEach { it.close() }
        }
    }

    /** Guards against an aborted stream that looks complete to its reader. */
    @Test
    fun `an aborted stream ends with an error`() {
        val stream = ChunkStream()
        withServer({ Response(Status.OK).body(Body(stream)) }) { url ->
            client(Request(Method.GET, url)).use { response ->
                stream.send("a")
                assertEquals("a", response.body.stream.readText(1))
                stream.abort()
                assertFailsWith<IOException> { response.body.stream.read() }
            }
        }
    }

    /** Guards against a stopped server that keeps connections open, which a crashed process would not do. */
    @Test
    fun `a stopped server closes open streams immediately and refuses connections`() {
        val stream = ChunkStream()
        val server = httpServer(HttpBinding("127.0.0.1", 0)) { Response(Status.OK).body(Body(stream)) }
        val response = client(Request(Method.GET, "http://127.0.0.1:${server.port}/"))
        stream.send("a")
        assertEquals("a", response.body.stream.readText(1))
        val start = System.nanoTime()
        server.stop()
        assertFailsWith<IOException> { response.body.stream.read() }
        assertTrue((System.nanoTime() - start) / 1_000_000 < 2_000, "stopping took too long")
        stream.send("b")
        stream.end()
        val refused = assertFailsWith<HttpCallException> { client(Request(Method.GET, "http://127.0.0.1:${server.port}/")) }
        assertEquals(false, refused.sent)
    }

    /** Guards against a body above the limit filling the memory, and against a handler that receives only part of a body. */
    @Test
    fun `bodies up to the limit arrive whole and larger ones are rejected`() {
        val handler: HttpHandler = { Response(Status.OK).body(it.bodyString().length.toString()) }
        withServer(handler, HttpServerLimits(maxBodyBytes = 100_000)) { url ->
            listOf(0, 1, 99_999, 100_000).forEach { size ->
                client(Request(Method.POST, url).body("x".repeat(size))).use { assertEquals("$size", it.bodyString()) }
            }
            listOf(100_001, 2_000_000).forEach { size ->
                client(Request(Method.POST, url).body("x".repeat(size))).use { assertEquals(413, it.status.code, "body of $size bytes") }
            }
        }
    }

    /** Guards against worker threads being blocked by clients that send their body slowly. */
    @Test
    fun `slow senders occupy no worker thread`() {
        withServer({ Response(Status.OK).body("ok") }, HttpServerLimits(workerThreads = 2)) { url ->
            val port = url.substringAfterLast(":").trimEnd('/').toInt()
            val slow = List(8) { Socket("127.0.0.1", port) }
            slow.forEach { it.getOutputStream().write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab".toByteArray()) }
            client(Request(Method.GET, url)).use { assertEquals("ok", it.bodyString()) }
            slow.forEach { it.close() }
        }
    }

    /** Guards against an exception in a handler closing the connection or stopping the server. */
    @Test
    fun `a failing handler is answered with status 500`() {
        withServer({ error("exception in the handler") }) { url ->
            repeat(3) { client(Request(Method.GET, url)).use { assertEquals(500, it.status.code) } }
        }
    }

    private fun withServer(
        handler: HttpHandler,
        limits: HttpServerLimits = HttpServerLimits(),
        action: (String) -> Unit,
    ) {
        httpServer(HttpBinding("127.0.0.1", 0), limits, handler).use { action("http://127.0.0.1:${it.port}/") }
    }
}

internal fun InputStream.readText(bytes: Int): String = String(readNBytes(bytes))
