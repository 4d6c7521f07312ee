package lavendertrail.gateway

import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against servers that send more than one response to a request, or bytes without end, exhausting memory or mixing answers. */
class FaultyServerTest {
    private val chunkedHead = "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

    @Test
    fun `a response without end is cut off before it exhausts the memory of the gateway`() {
        val responses =
            mapOf(
                "status line" to "HTTP/1.1 200 ",
                "header" to "HTTP/1.1 200 OK\r\nX-Filler: ",
                "body delimited by the end of the connection" to "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nX-Signed: 1\r\n\r\n",
                "chunk size" to chunkedHead + "1;",
                "body of a surplus response" to "HTTP/1.1 200 OK\r\nX-Attempt: r0\r\nX-Signed: 1\r\n\r\n",
            )
        for ((part, response) in responses) assertCutOff("/once/a", part, response)
        assertCutOff("/stream/a", "event of a stream", chunkedHead + "7fffffff\r\nid: 1\ndata: ")
    }

    private fun assertCutOff(
        path: String,
        part: String,
        response: String,
    ) {
        GatewayFixture { _, _ -> response + ENDLESS_MARKER }.use { fixture ->
            val status =
                fixture
                    .call(path)
                    ?.first
                    ?.split(' ')
                    ?.get(1)
            assertEquals("502", status, part)
            assertTrue(fixture.server.endlessResponseEnded.await(2, TimeUnit.SECONDS), "$part: the connection was not closed")
            val bytes = fixture.server.fillerBytes.get()
            assertTrue(bytes < MAX_ACCEPTED_BYTES, "$part: $bytes bytes were accepted")
        }
    }

    // The copy has the attempt id of the request that is in flight, so only the choice of the connection tells them apart.
    @Test
    fun `a late copy of a refusal is not taken for the answer to the next attempt of the same request`() {
        val refusal = "HTTP/1.1 503 Busy\r\nX-Attempt: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        val answered = AtomicInteger()
        val perConnection = ThreadLocal.withInitial { 0 }
        GatewayFixture { _, _ ->
            perConnection.set(perConnection.get() + 1)
            val isFirstRequest = answered.incrementAndGet() == 1
            when {
                isFirstRequest -> refusal
                perConnection.get() > 1 -> refusal + signed("done")
                else -> signed("done")
            }
        }.use { fixture ->
            assertEquals("done", fixture.call("/once/a")?.second)
            assertEquals(2, fixture.server.requests.size)
        }
    }

    @Test
    fun `a response without an attempt id is not used on a connection that has carried another request`() {
        val unidentified = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        GatewayFixture { head, _ -> if ("r2" in head) unidentified + signed("second", id = "r2") else signed("first") }.use { fixture ->
            assertEquals("first", fixture.call("/once/a", id = "r1")?.second)
            assertEquals("second", fixture.call("/once/a", id = "r2")?.second)
            assertEquals(2, fixture.server.requests.size)
        }
    }

    private companion object {
        /** A small part of the heap of an entry host, with room for socket buffers. */
        const val MAX_ACCEPTED_BYTES = 32_000_000L
    }
}
