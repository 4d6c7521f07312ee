package lavendertrail.gateway

import com.github.michaelbull.result.get
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Guards against a response without a valid status, such as 000, that reaches a caller or counts as an answer of the store. */
class InvalidStatusTest {
    private val statuses = listOf("000", "000 OK", "0 x", "012 x", "099 x", "20 OK", "600 x", "999 x", "2000 OK", "-200 OK", "OK", "")
    private val marks = "X-Attempt: r1\r\nX-Signed: 1\r\n"
    private val bodies =
        mapOf(
            "length" to "Content-Length: 4\r\n\r\nbody",
            "chunks" to "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "event" to "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
            "neither" to "\r\nbody$CLOSE_MARKER",
            "not run" to "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        )

    private fun answers(): Map<String, String> =
        statuses
            .flatMap { status -> bodies.map { (kind, body) -> "'$status', $kind" to "HTTP/1.1 $status\r\n$marks$body" } }
            .toMap()

    private fun statusOf(response: Pair<String, String>?) = response?.first?.split(' ')?.get(1)

    @Test
    fun `no caller gets it, nor a refusal of a request that may have run, on new and on kept connections`() {
        for ((kind, answer) in answers()) {
            GatewayFixture { head, _ -> if ("/good" in head) signed("fine") else answer }.use { fixture ->
                for (route in listOf("/once", "/safe", "/stream", "/resumable")) {
                    assertEquals("502", statusOf(fixture.call("$route/bad")), "$kind, $route")
                    assertEquals("200", statusOf(fixture.call("/once/good")), "$kind, $route")
                    assertEquals("502", statusOf(fixture.call("$route/bad")), "$kind, $route, kept connection")
                }
            }
        }
    }

    @Test
    fun `a call of the store's client fails, and the next one succeeds`() {
        val group = singleEventLoop()
        try {
            for ((kind, answer) in answers()) {
                val number = AtomicInteger()
                val respond = { _: String, _: String -> if (number.getAndIncrement() % 2 == 1) answer else signed("fine") }
                ScriptedServer(respond).use { server ->
                    BlockingHttpClient(group, server.address, CONNECT_TIMEOUT_MILLIS).use { client ->
                        assertEquals("fine", client.call("GET", "/", null, CALL_TIMEOUT_MILLIS).get()?.body, kind)
                        assertNull(client.call("GET", "/", null, CALL_TIMEOUT_MILLIS).get(), kind)
                        assertEquals("fine", client.call("GET", "/", null, CALL_TIMEOUT_MILLIS).get()?.body, kind)
                    }
                }
            }
        } finally {
            group.shutdownGracefully()
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 1_000
        const val CALL_TIMEOUT_MILLIS = 2_000L
    }
}
