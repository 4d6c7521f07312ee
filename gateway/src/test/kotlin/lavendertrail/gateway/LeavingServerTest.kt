package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ServerChanged
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/** Guards against requests to a server that has said in any kind of answer that it leaves, and against marks from elsewhere. */
class LeavingServerTest {
    private val mark = "X-Leaving: 1\r\n"
    private val chunked = "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n"
    private val marked =
        mapOf(
            "whole answer" to ("/safe/a" to signed("x", extra = mark)),
            "failure" to ("/safe/a" to "HTTP/1.1 500 Oops\r\nX-Attempt: r1\r\nX-Signed: 1\r\n${mark}Content-Length: 0\r\n\r\n"),
            "refusal" to ("/safe/a" to "HTTP/1.1 503 Busy\r\nX-Attempt: r1\r\nX-Not-Run: 1\r\n${mark}Content-Length: 0\r\n\r\n"),
            "stream" to ("/stream/a" to chunked + mark + "\r\n10\r\nid: 1\ndata: abc\n\n\r\n0\r\n\r\n"),
            "answer that ends with its connection" to
                ("/safe/a" to "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nX-Signed: 1\r\n$mark\r\nx$CLOSE_MARKER"),
        )
    private val unmarked =
        mapOf(
            "informational answer" to ("/safe/a" to "HTTP/1.1 103 Early Hints\r\n$mark\r\n" + signed("x")),
            "trailer" to ("/safe/a" to chunked + "\r\n1\r\nx\r\n0\r\n$mark\r\n"),
            "another server at the address" to
                ("/safe/a" to "HTTP/1.1 421 Misdirected\r\nX-Attempt: r1\r\nX-Not-Run: 1\r\n${mark}Content-Length: 0\r\n\r\n"),
            "answer to another request" to ("/safe/a" to signed("old", id = "r0", extra = mark) + signed("x")),
        )

    /** The number of later requests that reach the server that gave [response] first. */
    private fun laterRequests(
        path: String,
        response: String,
    ): Int {
        var isFirst = true
        val other = ScriptedServer { head, _ -> signed("other", id = id(head)) }
        GatewayFixture { head, _ -> if (isFirst) response.also { isFirst = false } else signed("again", id = id(head)) }.use { fixture ->
            fixture.call(path)
            val first = fixture.server.requests.size
            fixture.gateway.submit(ServerChanged(BackendServer("s2", "tools", other.address, FailureDomain("z"), 4, isDraining = false)))
            fixture.awaitSubmittedTasks()
            repeat(REQUESTS) { assertNotNull(fixture.call("/safe/$it", id = "later-$it")) }
            other.close()
            return fixture.server.requests.size - first
        }
    }

    private fun id(head: String) = checkNotNull(Regex("X-Attempt: (\\S+)").find(head)).groupValues[1]

    @Test
    fun `no later request reaches a server after any kind of answer that says that it leaves`() {
        for ((name, exchange) in marked) assertEquals(0, laterRequests(exchange.first, exchange.second), name)
    }

    @Test
    fun `a header that isn't in the server's own final answer says nothing`() {
        // The server in the same failure domain is preferred, unless it is in backoff or leaving.
        for ((name, exchange) in unmarked - "another server at the address") {
            assertEquals(REQUESTS, laterRequests(exchange.first, exchange.second), name)
        }
        val (path, response) = unmarked.getValue("another server at the address")
        var isFirst = true
        GatewayFixture { head, _ -> if (isFirst) response.also { isFirst = false } else signed("again", id = id(head)) }.use { fixture ->
            fixture.call(path)
            assertEquals("again", assertNotNull(fixture.call("/safe/b", id = "r2")).second)
        }
    }

    @Test
    fun `the header reaches the caller`() {
        GatewayFixture { _, _ -> signed("x", extra = mark) }.use { fixture ->
            assertEquals(true, "X-Leaving: 1" in assertNotNull(fixture.call("/safe/a")).first)
        }
    }

    private companion object {
        const val REQUESTS = 6
    }
}
