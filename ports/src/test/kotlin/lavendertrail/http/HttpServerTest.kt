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

    /** Guards against a server or client that gathers or delays chunks: each is sent only after the one before was read. */
    @Test
    fun `each chunk reaches the client before the next one is sent`() {
        val stream = ChunkStream()
        serving({ Response(Status.OK).body(Body(stream)) }) { url ->
            client(Request(Method.GET, url)).use { response ->
                val start = System.nanoTime()
                repeat(50) { number ->
                    stream.send("chunk $number;")
                    assertEquals("chunk $number;", response.body.stream.readText("chunk $number;".length))
                }
                val millis = (System.nanoTime() - start) / 1_000_000
                assertTrue(millis < 2_000, "50 chunks took $millis ms, one after the other")
                stream.end()
                assertEquals(-1, response.body.stream.read())
            }
        }
    }

    /** Guards against gathering in the path for plain input streams. */
    @Test
    fun `a plain input stream is flushed after each read`() {
        val steps = ConcurrentLinkedQueue(listOf("first;", "second;"))
        val read = java.util.concurrent.Semaphore(1)
        val source =
            object : InputStream() {
                override fun read(): Int = error("only blocks are read")

                override fun read(
                    buffer: ByteArray,
                    start: Int,
                    length: Int,
                ): Int {
                    read.acquire()
                    val bytes = steps.poll()?.toByteArray() ?: return -1
                    bytes.copyInto(buffer, start)
                    return bytes.size
                }
            }
        serving({ Response(Status.OK).body(Body(source)) }) { url ->
            client(Request(Method.GET, url)).use { response ->
                assertEquals("first;", response.body.stream.readText(6))
                read.release()
                assertEquals("second;", response.body.stream.readText(7))
                read.release()
                assertEquals(-1, response.body.stream.read())
            }
        }
    }

    /** Guards against the read timeout, which bounds slow requests, cutting streams that are silent for a while. */
    @Test
    fun `a stream that is silent for longer than the read timeout stays open`() {
        val stream = ChunkStream()
        serving({ Response(Status.OK).body(Body(stream)) }, HttpServerLimits(readTimeoutMillis = 200)) { url ->
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

    /** Guards against one thread per open stream, which would bound a node to as many streams as it has threads. */
    @Test
    fun `400 open streams need no thread each`() {
        val streams = ConcurrentLinkedQueue<ChunkStream>()
        val handler: HttpHandler = { Response(Status.OK).body(Body(ChunkStream().also(streams::add))) }
        serving(handler, HttpServerLimits(workerThreads = 8)) { url ->
            val open = (1..400).map { client(Request(Method.GET, url)) }
            val threads = Thread.getAllStackTraces().keys.count { it.name.startsWith("XNIO") }
            assertTrue(threads < 40, "server threads: $threads")
            streams.forEach { it.send("x") }
            open.forEach { assertEquals("x", it.body.stream.readText(1)) }
            streams.forEach { it.end() }
            open.forEach { it.close() }
        }
    }

    /** Guards against a broken stream that looks complete to its reader. */
    @Test
    fun `an aborted stream is an error and not an end`() {
        val stream = ChunkStream()
        serving({ Response(Status.OK).body(Body(stream)) }) { url ->
            client(Request(Method.GET, url)).use { response ->
                stream.send("a")
                assertEquals("a", response.body.stream.readText(1))
                stream.abort()
                assertFailsWith<IOException> { response.body.stream.read() }
            }
        }
    }

    /** Guards against a stopped server that keeps open connections alive, as a crashed process would not. */
    @Test
    fun `a stop cuts open streams at once and refuses connections`() {
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

    /** Guards against a body above the limit filling the memory, and against a handler that sees only a part of it. */
    @Test
    fun `bodies up to the limit arrive whole and larger ones are rejected`() {
        val handler: HttpHandler = { Response(Status.OK).body(it.bodyString().length.toString()) }
        serving(handler, HttpServerLimits(maxBodyBytes = 100_000)) { url ->
            listOf(0, 1, 99_999, 100_000).forEach { size ->
                client(Request(Method.POST, url).body("x".repeat(size))).use { assertEquals("$size", it.bodyString()) }
            }
            listOf(100_001, 2_000_000).forEach { size ->
                client(Request(Method.POST, url).body("x".repeat(size))).use { assertEquals(413, it.status.code, "body of $size bytes") }
            }
        }
    }

    /** Guards against workers being held by clients that send their body slowly. */
    @Test
    fun `slow senders occupy no worker thread`() {
        serving({ Response(Status.OK).body("ok") }, HttpServerLimits(workerThreads = 2)) { url ->
            val port = url.substringAfterLast(":").trimEnd('/').toInt()
            val slow = List(8) { Socket("127.0.0.1", port) }
            slow.forEach { it.getOutputStream().write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab".toByteArray()) }
            client(Request(Method.GET, url)).use { assertEquals("ok", it.bodyString()) }
            slow.forEach { it.close() }
        }
    }

    /** Guards against a fault of a handler taking the connection or the server with it. */
    @Test
    fun `a failing handler is answered with status 500`() {
        serving({ error("fault in a handler") }) { url ->
            repeat(3) { client(Request(Method.GET, url)).use { assertEquals(500, it.status.code) } }
        }
    }

    private fun serving(
        handler: HttpHandler,
        limits: HttpServerLimits = HttpServerLimits(),
        action: (String) -> Unit,
    ) {
        httpServer(HttpBinding("127.0.0.1", 0), limits, handler).use { action("http://127.0.0.1:${it.port}/") }
    }
}

internal fun InputStream.readText(bytes: Int): String = String(readNBytes(bytes))
