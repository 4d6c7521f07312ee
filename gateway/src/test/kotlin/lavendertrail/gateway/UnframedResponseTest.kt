package lavendertrail.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/**
 * Guards against incomplete answers that look complete: answers with neither a length nor chunks, which end with their connection.
 */
class UnframedResponseTest {
    private val head = "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nX-Signed: 1\r\n\r\n"
    private val event = "id: 1\ndata: a\n\n"

    private fun status(response: Pair<String, String>?) = response?.first?.split(' ')?.get(1)

    @Test
    fun `a whole answer is complete at an orderly end and not at a reset`() {
        GatewayFixture { _, _ -> head + "whole" + CLOSE_MARKER }.use { fixture ->
            val response = assertNotNull(fixture.call("/once/a"))
            assertEquals("whole", response.second)
        }
        GatewayFixture { _, _ -> head + "whole" + RESET_MARKER }.use { assertEquals("502", status(it.call("/once/a"))) }
    }

    @Test
    fun `a stream is complete at an orderly end between events`() {
        GatewayFixture { _, _ -> head + event + event + CLOSE_MARKER }.use { fixture ->
            assertEquals(event + event, assertNotNull(fixture.call("/stream/a")).second)
        }
    }

    @Test
    fun `a stream that is reset, or ends inside an event, has been broken off`() {
        val ends =
            mapOf(
                "reset between events" to event + RESET_MARKER,
                "end inside a field" to event + "id: 2\nda" + CLOSE_MARKER,
                "end between the field and its blank line" to event + "id: 2\ndata: b\n" + CLOSE_MARKER,
                "reset inside an event" to event + "id: 2\nda" + RESET_MARKER,
            )
        for ((name, bytes) in ends) {
            GatewayFixture { _, _ -> head + bytes }.use { assertNull(it.call("/stream/a"), name) }
        }
    }

    @Test
    fun `the caller's connection is kept and the server's is not used again`() {
        GatewayFixture { request, _ ->
            val id = checkNotNull(Regex("X-Attempt: (\\S+)").find(request)).groupValues[1]
            head.replace("r1", id) + "body of $id" + CLOSE_MARKER
        }.use { fixture ->
            fixture.connect().use { socket ->
                for (id in listOf("r1", "r2", "r3")) {
                    val response = with(fixture) { socket.exchange("/once/a", "", id) }
                    assertEquals("body of $id", assertNotNull(response).second)
                }
            }
            assertEquals(3, fixture.server.requests.size)
        }
    }

    @Test
    fun `a stream that is resumable goes on after its last whole event`() {
        GatewayFixture { request, _ ->
            val isResumed = "Last-Event" in request || "X-After" in request
            if (isResumed) head + "id: 2\ndata: b\n\n" + CLOSE_MARKER else head + event + "id: 2\nda" + CLOSE_MARKER
        }.use { fixture ->
            // Both servers' parts reach the caller as one answer or it is broken off; it never ends as complete with one event.
            val response = fixture.call("/resumable/a")
            if (response != null) assertEquals(event + "id: 2\ndata: b\n\n", response.second)
        }
    }
}
