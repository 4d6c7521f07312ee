package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against a later server's error inside a stream that an earlier one began, or at its end as if it were complete. */
class StreamContinuationTest {
    private val marks = "X-Attempt: r1\r\nX-Signed: 1\r\n"
    private val chunked = "HTTP/1.1 200 OK\r\n${marks}Transfer-Encoding: chunked\r\n"
    private val first = event(1, "first")
    private val second = event(2, "second")
    private val begun = chunked + "\r\n" + chunk(first) + CLOSE_MARKER
    private val rest = chunked + "\r\n" + chunk(second) + LAST_CHUNK

    /** Answers of the second server, none of which can go on with the stream. */
    private val wrongAnswers =
        mapOf(
            "server error" to answer("500 Oops", "text/plain", "internal error"),
            "server error without a mark" to "HTTP/1.1 500 Oops\r\nX-Attempt: r1\r\nContent-Length: 5\r\n\r\nerror",
            "not found" to answer("404 Not Found", "text/plain", "no such stream"),
            "refusal" to "HTTP/1.1 503 Busy\r\nX-Attempt: r1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
            "unavailable without a promise" to answer("503 Busy", "text/plain", "busy"),
            "another server" to "HTTP/1.1 421 Misdirected\r\nX-Attempt: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
            "JSON" to answer("200 OK", "application/json", "{\"error\":\"x\"}"),
            "JSON with blank lines" to answer("200 OK", "application/json", "{\n\n\"error\":\"x\"}\n\n"),
            "text of no stated type with blank lines" to signed("internal error\n\n"),
            "empty body of no stated type" to signed(""),
            "empty body that ends with its connection" to
                "HTTP/1.1 200 OK\r\n${marks}Content-Type: text/event-stream\r\n\r\n$CLOSE_MARKER",
            "no content" to "HTTP/1.1 204 No Content\r\n$marks\r\n",
            "success without a mark" to "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nContent-Length: ${second.length}\r\n\r\n$second",
            "error event without an id" to chunked + "\r\n" + chunk("event: error\ndata: internal\n\n") + LAST_CHUNK,
            "stream from its start" to chunked + "\r\n" + chunk(first) + chunk(second) + LAST_CHUNK,
            "redirect" to "HTTP/1.1 302 Found\r\n${marks}Location: /x\r\nContent-Length: 0\r\n\r\n",
            "status 000" to answer("000 None", "text/event-stream", second),
            "status 000 with chunks" to "HTTP/1.1 000\r\n${marks}Transfer-Encoding: chunked\r\n\r\n" + chunk(second) + LAST_CHUNK,
            "status 099" to answer("099 None", "text/event-stream", second),
            "status 999" to answer("999 Odd", "text/event-stream", second),
        )

    @Test
    fun `a stream that no server goes on with is visibly broken off after its last whole event`() {
        for ((name, answer) in wrongAnswers) {
            val received = receive(begun, answer)
            assertTrue(received.startsWith("HTTP/1.1 200"), "$name: $received")
            assertEquals(chunk(first), received.substringAfter("\r\n\r\n"), name)
        }
    }

    @Test
    fun `a stream goes on at a third server after the wrong answer of the second`() {
        for ((name, answer) in wrongAnswers) {
            val received = receive(begun, answer, rest)
            assertEquals(chunk(first) + chunk(second) + LAST_CHUNK, received.substringAfter("\r\n\r\n"), name)
        }
    }

    @Test
    fun `a stream of which nothing is left ends as complete`() {
        val nothingLeft = chunked + "Content-Type: text/event-stream; charset=utf-8\r\n\r\n" + LAST_CHUNK
        assertEquals(chunk(first) + LAST_CHUNK, receive(begun, nothingLeft).substringAfter("\r\n\r\n"))
    }

    @Test
    fun `events without ids aren't sent twice`() {
        val withoutId = "data: first\n\n"
        val received = receive(chunked + "\r\n" + chunk(withoutId) + CLOSE_MARKER, chunked + "\r\n" + chunk(withoutId) + LAST_CHUNK)
        assertEquals(chunk(withoutId), received.substringAfter("\r\n\r\n"))
    }

    @Test
    fun `comments between the events of the next server are kept`() {
        val received = receive(begun, chunked + "\r\n" + chunk(": still here\n\n") + chunk(second) + LAST_CHUNK)
        assertTrue(received.endsWith(chunk(": still here\n\n") + chunk(second) + LAST_CHUNK), received)
        assertEquals(0, received.lastIndexOf("HTTP/1.1"))
    }

    /** Returns all bytes of a caller's connection. The servers give [answers] in the order in which they are asked. */
    private fun receive(vararg answers: String): String {
        val next = AtomicInteger()
        val respond = { _: String, _: String -> answers[next.getAndIncrement()] }
        val others = answers.drop(1).map { ScriptedServer(respond) }
        return GatewayFixture(respond = respond)
            .use { fixture ->
                val routes = GatewayFixture.config.routes.map { it.copy(maxAttempts = answers.size) }
                fixture.gateway.submit(ConfigAccepted(GatewayFixture.config.copy(version = 2, routes = routes)))
                others.forEachIndexed { index, server ->
                    val entry = BackendServer("s${index + 2}", "tools", server.address, FailureDomain("z"), slots = 4, isDraining = false)
                    fixture.gateway.submit(ServerChanged(entry))
                }
                fixture.awaitSubmittedTasks()
                fixture.connect().use { socket ->
                    val head = "POST /resumable/a HTTP/1.1\r\nHost: desk\r\nX-Attempt: r1\r\n"
                    val request = "${head}Connection: close\r\nContent-Length: 0\r\n\r\n"
                    socket.getOutputStream().write(request.toByteArray())
                    String(socket.getInputStream().readAllBytes())
                }
            }.also { others.forEach { it.close() } }
    }

    private fun answer(
        status: String,
        type: String,
        body: String,
    ) = "HTTP/1.1 $status\r\n${marks}Content-Type: $type\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private companion object {
        const val LAST_CHUNK = "0\r\n\r\n"

        fun event(
            id: Int,
            data: String,
        ) = "id: $id\ndata: $data\n\n"

        fun chunk(text: String) = text.length.toString(16) + "\r\n" + text + "\r\n"
    }
}
