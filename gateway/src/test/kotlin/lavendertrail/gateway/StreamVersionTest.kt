package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.serving.ServerRemoved
import lavendertrail.standins.freePorts
import lavendertrail.turns.TurnHostsFixture
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Guards against streams that one software version of a server began and another one continues. */
class StreamVersionTest {
    private val streamHead = "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    private val firstEvent = "id: 1\ndata: VERSION\n\n"
    private val lastEvent = "id: 2\ndata: VERSION\n\n"
    private val servers =
        listOf("v1", "v2").associateWith { version ->
            ScriptedServer { head, _ ->
                val id =
                    Regex("X-Attempt: (\\S+)")
                        .find(head)
                        ?.groupValues
                        ?.get(1)
                        .orEmpty()
                val isResumed = "X-After" in head
                val event = (if (isResumed) lastEvent else firstEvent).replace("VERSION", version)
                val end = if (isResumed) "0\r\n\r\n" else CLOSE_MARKER
                streamHead.replace("ID", id) + event.length.toString(16) + "\r\n" + event + "\r\n" + end
            }
        }
    private val turnHosts = TurnHostsFixture()
    private val entryHosts = mutableListOf<EntryHost>()

    private inner class EntryHost(
        versions: List<String>,
    ) {
        private val group = singleEventLoop()
        private val port = freePorts(1).single()
        private val settings =
            GatewaySettings("node$port", FailureDomain("a"), "127.0.0.1:$port", "127.0.0.1:0", relayAddress = null, graceMillis = 3_000)
        val gateway = Gateway(settings, GatewayFixture.wire, group, StructuredLog("node$port"), GatewayMetrics())

        init {
            entryHosts += this
            gateway.start()
            gateway.updateTurnHosts(turnHosts.currentHosts())
            gateway.submit(ConfigAccepted(GatewayFixture.config))
            versions.forEach { gateway.submit(ServerChanged(server(it))) }
        }

        /** Returns the head and the body of the response; null if the connection ends before the response is complete. */
        fun call(
            id: String,
            vararg headers: String,
        ): Pair<String, String>? =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MILLIS
                val lines = listOf("POST /resumable/a HTTP/1.1", "Host: desk", "X-Attempt: $id", "Content-Length: 0") + headers
                socket.getOutputStream().write(lines.joinToString("\r\n", postfix = "\r\n\r\n").toByteArray())
                socket.getInputStream().readMessage()
            }

        fun stop() {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        }
    }

    private fun server(version: String) =
        BackendServer(
            id = "s-$version",
            service = "tools",
            address = servers.getValue(version).address,
            failureDomain = FailureDomain("a"),
            slots = 4,
            isDraining = false,
            softwareVersion = version,
        )

    private fun startTurnHosts() {
        listOf("a1", "b1", "c1").forEach { turnHosts.start(it, isFirstStart = true) }
        turnHosts.awaitHosts("a1", "b1", "c1")
    }

    /** Begins one stream at each version and returns the version by the caller's attempt. */
    private fun beginStreams(): Map<String, String> {
        val first = EntryHost(listOf("v1"))
        assertNull(first.call("began-v1"))
        first.gateway.submit(ServerRemoved("s-v1"))
        first.gateway.submit(ServerChanged(server("v2")))
        assertNull(first.call("began-v2"))
        // The first events have reached their caller; whatever is recorded about the streams follows within this time.
        Thread.sleep(RECORDING_MILLIS)
        first.stop()
        return mapOf("began-v1" to "v1", "began-v2" to "v2")
    }

    @Test
    fun `a stream goes on at the version that began it after all entry hosts have been killed`() {
        startTurnHosts()
        val begun = beginStreams()
        val restarted = EntryHost(listOf("v1", "v2"))
        for ((attempt, version) in begun) {
            repeat(RESUMES_PER_STREAM) { number ->
                val response = assertNotNull(restarted.call("again-$attempt-$number", "X-Resumes: $attempt", "X-After: 1"))
                assertEquals(lastEvent.replace("VERSION", version), response.second, attempt)
            }
        }
    }

    @Test
    fun `a stream whose version has left is refused as not run after all entry hosts have been killed`() {
        startTurnHosts()
        beginStreams()
        val restarted = EntryHost(listOf("v2"))
        val served = servers.getValue("v2").requests.size
        val response = assertNotNull(restarted.call("again", "X-Resumes: began-v1", "X-After: 1"))
        assertEquals("503", response.first.split(' ')[1])
        assertEquals(served, servers.getValue("v2").requests.size)
    }

    // Reported by other operators: a host that was out of step while servers of a new version joined went on with their streams at
    // servers of the old version.
    @Test
    fun `a host with old lists of servers and turn hosts doesn't go on with streams of a version that it doesn't know`() {
        startTurnHosts()
        val outOfStep = EntryHost(listOf("v1"))
        listOf("a2", "b2", "c2").forEach { turnHosts.start(it) }
        turnHosts.awaitHosts("a1", "a2", "b1", "b2", "c1", "c2")
        val inStep = EntryHost(listOf("v2"))
        val begun = (1..STREAMS).map { "began-$it" }
        begun.forEach { assertNull(inStep.call(it)) }
        Thread.sleep(RECORDING_MILLIS)
        turnHosts.stop("a1")
        for (attempt in begun) {
            val response = assertNotNull(outOfStep.call("again-$attempt", "X-Resumes: $attempt", "X-After: 1"))
            assertEquals("503", response.first.split(' ')[1], attempt)
        }
        assertEquals(0, servers.getValue("v1").requests.size)
    }

    @Test
    fun `a stream of unknown origin is refused as not run`() {
        startTurnHosts()
        val entryHost = EntryHost(listOf("v2"))
        val response = assertNotNull(entryHost.call("again", "X-Resumes: never-seen", "X-After: 1"))
        assertEquals("503", response.first.split(' ')[1])
        assertEquals(0, servers.getValue("v2").requests.size)
    }

    @AfterTest
    fun stop() {
        entryHosts.forEach { it.stop() }
        servers.values.forEach { it.close() }
        turnHosts.close()
    }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 5_000
        const val STOP_TIMEOUT_SECONDS = 5L
        const val RECORDING_MILLIS = 300L
        const val RESUMES_PER_STREAM = 6
        const val STREAMS = 12
    }
}
