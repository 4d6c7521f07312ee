package lavendertrail.gateway

import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/**
 * Guards against an answer whose head a server cut off, and which reaches callers as a whole one with an empty or short body, or as
 * a refusal of a request that may have run.
 */
class CutHeadTest {
    private val mark = "X-Signed: 1\r\n"
    private val heads =
        mapOf(
            "length last" to "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\n${mark}Content-Length: 4\r\n\r\n",
            "length first" to "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Attempt: ID\r\n$mark\r\n",
            "chunks" to "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\n${mark}Transfer-Encoding: chunked\r\n\r\n",
            "neither" to "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\n$mark\r\n",
            "after an informational answer" to
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt: ID\r\n${mark}Content-Length: 4\r\n\r\n",
            "failure" to "HTTP/1.1 500 Failed\r\nX-Attempt: ID\r\n${mark}Content-Length: 4\r\n\r\n",
        )

    private fun attemptId(request: String) = checkNotNull(Regex("X-Attempt: (\\S+)").find(request)).groupValues[1]

    /** The number of bytes after which the server cuts the head of the request's answer, which the path names. */
    private fun cutBytes(request: String) = checkNotNull(Regex("/cut/(\\d+)").find(request)).groupValues[1].toInt()

    private fun cutAnswer(
        request: String,
        head: String,
    ) = head.replace("ID", attemptId(request)).take(cutBytes(request)) + CLOSE_MARKER

    private fun status(response: Pair<String, String>?) = response?.first?.split(' ')?.get(1)

    /** Sends a request to [target] and returns all that the gateway writes until it closes the connection. */
    private fun Socket.send(
        method: String,
        target: String,
        version: String,
        id: String,
    ): String {
        val head = "$method $target HTTP/$version\r\nHost: desk\r\nX-Attempt: $id\r\nX-Deadline: 2000\r\nConnection: close\r\n\r\n"
        getOutputStream().write(head.toByteArray())
        return String(getInputStream().readAllBytes())
    }

    @Test
    fun `callers get a failure for a head that was cut at any byte`() {
        for ((kind, head) in heads) {
            GatewayFixture { request, _ -> cutAnswer(request, head) }.use { fixture ->
                for (bytes in 0 until head.length) {
                    for (path in listOf("/once", "/stream")) {
                        val response = fixture.call("$path/cut/$bytes", id = "n$bytes", headers = "X-Deadline: 2000\r\n")
                        assertEquals("502", status(response), "$kind, $bytes bytes, $path")
                    }
                }
            }
        }
    }

    @Test
    fun `callers get a failure for a head that was cut at any byte on a kept connection`() {
        for ((kind, head) in heads) {
            GatewayFixture { request, _ ->
                if ("/cut/" in request) cutAnswer(request, head) else signed("whole", attemptId(request))
            }.use { fixture ->
                for (bytes in 0 until head.length) {
                    assertEquals("200", status(fixture.call("/once/whole$bytes", id = "w$bytes")), "$kind, $bytes bytes")
                    val response = fixture.call("/once/cut/$bytes", id = "k$bytes", headers = "X-Deadline: 2000\r\n")
                    assertEquals("502", status(response), "$kind, $bytes bytes")
                }
            }
        }
    }

    @Test
    fun `callers get a failure for a head that was cut behind a second answer to an earlier request`() {
        val head = heads.getValue("length last")
        GatewayFixture { request, _ ->
            if ("/cut/" !in request) return@GatewayFixture signed("whole", attemptId(request))
            signed("whole", attemptId(request).replace('k', 'w')) + cutAnswer(request, head)
        }.use { fixture ->
            for (bytes in 0 until head.length) {
                fixture.call("/once/whole$bytes", id = "w$bytes")
                val response = fixture.call("/once/cut/$bytes", id = "k$bytes", headers = "X-Deadline: 2000\r\n")
                assertEquals("502", status(response), "$bytes bytes")
            }
        }
    }

    @Test
    fun `callers of HTTP 1_0 and those who ask with HEAD get a failure for a cut head`() {
        for (head in listOf("length last", "neither").map { heads.getValue(it) }) {
            GatewayFixture { request, _ -> cutAnswer(request, head) }.use { fixture ->
                for (bytes in 0 until head.length) {
                    val old = fixture.connect().use { it.send("POST", "/once/cut/$bytes", "1.0", "o$bytes") }
                    val headOnly = fixture.connect().use { it.send("HEAD", "/once/cut/$bytes", "1.1", "h$bytes") }
                    assertTrue(" 502 " in old.lines().first() && " 502 " in headOnly.lines().first(), "$bytes bytes: $old$headOnly")
                }
            }
        }
    }

    @Test
    fun `a stream whose rest has a head that was cut at any byte is broken off`() {
        val event = "id: 1\ndata: a\n\n"
        for ((kind, head) in heads) {
            GatewayFixture { request, _ ->
                if ("X-After" in request) return@GatewayFixture cutAnswer(request, head)
                "HTTP/1.1 200 OK\r\nX-Attempt: ${attemptId(request)}\r\n$mark\r\n$event" + "id: 2\nda" + CLOSE_MARKER
            }.use { fixture ->
                for (bytes in 0 until head.length) {
                    val response = fixture.call("/resumable/cut/$bytes", id = "s$bytes", headers = "X-Deadline: 2000\r\n")
                    assertNull(response, "$kind, $bytes bytes")
                }
            }
        }
    }

    @Test
    fun `calls of the store's client fail for a head that was cut at any byte`() {
        val group = singleEventLoop()
        for ((kind, head) in heads) {
            ScriptedServer { request, _ ->
                if ("/cut/" in request) head.take(cutBytes(request)) + CLOSE_MARKER else signed("whole")
            }.use { server ->
                BlockingHttpClient(group, server.address, CONNECT_TIMEOUT_MILLIS).use { client ->
                    for (bytes in 0 until head.length) {
                        for (isKept in listOf(false, true)) {
                            if (isKept) assertTrue(client.call("GET", "/", null, CALL_TIMEOUT_MILLIS).isOk)
                            val reply = client.call("GET", "/cut/$bytes", null, CALL_TIMEOUT_MILLIS)
                            assertTrue(reply.isErr, "$kind, $bytes bytes, kept $isKept: $reply")
                        }
                    }
                }
            }
        }
        group.shutdownGracefully()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 2_000
        const val CALL_TIMEOUT_MILLIS = 5_000L
    }
}
