package lavendertrail.gateway

import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests that a planned stop cuts without an answer. */
class PlannedStopTest {
    private val silent: (String, String) -> String? = { _, _ ->
        Thread.sleep(SILENCE_MILLIS)
        null
    }
    private val streamStart =
        "HTTP/1.1 200 OK\r\nX-Attempt: r1\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"

    private fun Socket.send(
        path: String,
        id: String = "r1",
    ) = getOutputStream().write("POST $path HTTP/1.1\r\nHost: desk\r\nX-Attempt: $id\r\nContent-Length: 0\r\n\r\n".toByteArray())

    /** Drains the gateway and returns what the caller has received by the time at which the process would end. */
    private fun GatewayFixture.receivedAtExit(socket: Socket): String {
        val received = CompletableFuture.supplyAsync { String(socket.getInputStream().readAllBytes()) }
        val exited = CountDownLatch(1)
        gateway.drain { exited.countDown() }
        assertTrue(exited.await(5, TimeUnit.SECONDS), "the process did not end")
        // What has been written is on its way over loopback.
        return runCatching { received.get(DELIVERY_MILLIS, TimeUnit.MILLISECONDS) }.getOrDefault("nothing complete")
    }

    @Test
    fun `a request that must not be repeated is answered before the process ends`() {
        GatewayFixture(graceMillis = SHORT_GRACE_MILLIS, respond = silent).use { fixture ->
            fixture.connect().use { socket ->
                socket.send("/once/a")
                fixture.awaitArrival()
                val received = fixture.receivedAtExit(socket)
                assertEquals("HTTP/1.1 502 Bad Gateway", received.substringBefore("\r\n"))
                assertTrue(received.contains("connection: close", ignoreCase = true), received)
            }
        }
    }

    @Test
    fun `a stream in progress is visibly broken off before the process ends`() {
        GatewayFixture(graceMillis = SHORT_GRACE_MILLIS, respond = { _, _ -> streamStart }).use { fixture ->
            fixture.connect().use { socket ->
                socket.send("/stream/a")
                fixture.awaitArrival()
                val received = fixture.receivedAtExit(socket)
                assertEquals("f\r\nid: 1\ndata: a\n\n\r\n", received.substringAfter("\r\n\r\n"))
            }
        }
    }

    @Test
    fun `a late request that may outlast the process is refused at once as not run`() {
        GatewayFixture(graceMillis = SHORT_GRACE_MILLIS, respond = silent).use { fixture ->
            fixture.connect().use { socket ->
                fixture.gateway.drain {}
                fixture.awaitSubmittedTasks()
                socket.send("/once/a")
                val response = socket.getInputStream().readMessage()
                assertEquals("HTTP/1.1 503 Service Unavailable", response?.first?.substringBefore("\r\n"))
                assertTrue(response?.first.orEmpty().contains("connection: close", ignoreCase = true))
                assertEquals(0, fixture.server.requests.size)
            }
        }
    }

    @Test
    fun `a late request whose deadline passes before the stop ends is served`() {
        GatewayFixture(graceMillis = SHORT_GRACE_MILLIS) { _, _ -> signed("done") }.use { fixture ->
            fixture.connect().use { socket ->
                fixture.gateway.drain {}
                fixture.awaitSubmittedTasks()
                assertEquals("done", with(fixture) { socket.exchange("/once/a", "", "r1", "X-Deadline: 500\r\n") }?.second)
            }
        }
    }

    /** Guards against long streams of a route on which most are short: they were passed on late in a stop and cut at its end. */
    @Test
    fun `no stream that is passed on during a stop is cut`() {
        val grace = 1_600L
        val lastChunks = "12\r\nid: 2\ndata: last\n\n\r\n0\r\n\r\n"
        val isLong = AtomicBoolean()
        val respond: (String, String) -> String? = { _, _ ->
            if (isLong.get()) Thread.sleep(STREAM_MILLIS)
            streamStart + lastChunks
        }
        GatewayFixture(graceMillis = grace, respond = respond).use { fixture ->
            repeat(8) { fixture.call("/stream/a") }
            isLong.set(true)
            val callers = List(12) { fixture.connect() }
            fixture.gateway.drain {}
            fixture.awaitSubmittedTasks()
            val received =
                callers.map { socket ->
                    Thread.sleep(60)
                    socket.send("/stream/a")
                    CompletableFuture.supplyAsync { String(socket.getInputStream().readAllBytes()) }
                }
            for (answer in received.map { it.get(5, TimeUnit.SECONDS) }) {
                val isWhole = answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n")
                assertTrue(isWhole || answer.startsWith("HTTP/1.1 503"), answer)
            }
            callers.forEach { it.close() }
        }
    }

    @Test
    fun `the steps of a stop follow one another whatever its grace period`() {
        for (graceMillis in listOf(200L, 1_000L, 8_000L, 60_000L)) {
            val steps = drainSchedule(graceMillis)
            val times = with(steps) { listOf(1, stopAcceptingMillis, closeIdleMillis, endRequestsMillis, exitMillis, graceMillis) }
            assertEquals(times.sorted(), times, "$graceMillis")
            assertTrue(steps.exitMillis < graceMillis)
        }
    }

    private fun GatewayFixture.awaitArrival() {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5)
        while (server.requests.isEmpty() && System.nanoTime() < deadlineNanos) Thread.sleep(5)
        assertEquals(1, server.requests.size)
        // The first event of a stream, if there is one, reaches the caller.
        Thread.sleep(100)
    }

    private companion object {
        /** Shorter than the deadline of the fixture's requests, which is a second. */
        const val SHORT_GRACE_MILLIS = 800L

        /** Less than the deadline of the fixture's requests, and more than what is left of the grace period for most of them. */
        const val STREAM_MILLIS = 900L
        const val SILENCE_MILLIS = 3_000L
        const val DELIVERY_MILLIS = 100L
    }
}
