package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.standins.freePorts
import lavendertrail.turns.TurnHosts
import lavendertrail.turns.TurnHostsFixture
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a backend server that gets more requests than the limit that it states, summed over all entry hosts. */
class RequestLimitTest {
    @Test
    fun `a server that states a limit gets no more than that from all entry hosts together`() {
        EntryHostsUnderLoad(hostCount = 4, limit = LIMIT_PER_SECOND).use { load ->
            load.run(RUN_MILLIS)
            val counted = assertWithinLimit(load.arrivalsMillis())
            val expected = LIMIT_PER_SECOND * (RUN_MILLIS - SETTLING_MILLIS) / 1_000
            assertTrue(counted.size >= expected / 2, "${counted.size} requests although the server accepts $expected")
        }
    }

    @Test
    fun `a limit is kept while the turn host that paces it stops`() {
        EntryHostsUnderLoad(hostCount = 4, limit = LIMIT_PER_SECOND).use { load ->
            val stopping =
                thread {
                    Thread.sleep(RUN_MILLIS / 2)
                    load.stopPacingHost()
                }
            load.run(RUN_MILLIS)
            stopping.join()
            assertWithinLimit(load.arrivalsMillis())
        }
    }

    @Test
    fun `requests are sent without permits again once the server states no limit`() {
        EntryHostsUnderLoad(hostCount = 4, limit = LIMIT_PER_SECOND).use { load ->
            load.run(RUN_MILLIS / 2)
            load.limit.set(null)
            load.run(RUN_MILLIS / 2)
            val before = load.arrivalsMillis().size
            load.run(RUN_MILLIS / 4)
            val sent = load.arrivalsMillis().size - before
            val offered = RUN_MILLIS / 4 / EntryHostsUnderLoad.CALL_INTERVAL_MILLIS * 4
            assertTrue(sent > offered / 2, "$sent of $offered requests were sent")
        }
    }

    /** Returns the requests that count, once all entry hosts know the limit. */
    private fun assertWithinLimit(arrivalsMillis: List<Long>): List<Long> {
        val counted = arrivalsMillis.filter { it > arrivalsMillis.first() + SETTLING_MILLIS }
        val most = counted.maxOf { start -> counted.count { it in start until start + WINDOW_MILLIS } }
        val allowed = LIMIT_PER_SECOND * TOLERANCE * WINDOW_MILLIS / 1_000 + EXTRA_REQUESTS
        assertTrue(most <= allowed, "$most requests in $WINDOW_MILLIS ms, allowed are $allowed")
        return counted
    }

    private companion object {
        const val LIMIT_PER_SECOND = 5.0
        const val RUN_MILLIS = 6_000L

        /** Time in which every entry host gets an answer that states the limit. */
        const val SETTLING_MILLIS = 1_500L
        const val WINDOW_MILLIS = 4_000L
        const val TOLERANCE = 1.5
        const val EXTRA_REQUESTS = 5
    }
}

/** Several entry hosts with turn hosts and one backend server, whose answers state [limit] in requests a second. */
private class EntryHostsUnderLoad(
    private val hostCount: Int,
    limit: Double?,
) : AutoCloseable {
    val limit = AtomicReference(limit)
    private val arrivals = CopyOnWriteArrayList<Long>()
    private val server =
        ScriptedServer { head, _ ->
            arrivals += nowMillis()
            val id =
                Regex("X-Attempt: (\\S+)")
                    .find(head)
                    ?.groupValues
                    ?.get(1)
                    .orEmpty()
            signed(
                "done",
                id,
                this.limit
                    .get()
                    ?.let { "X-Limit: $it\r\n" }
                    .orEmpty(),
            )
        }
    private val turnHosts = TurnHostsFixture()
    private val groups = List(hostCount) { singleEventLoop() }
    private val ports = freePorts(hostCount)
    private val nextId = AtomicInteger()

    init {
        listOf("a1", "b1", "c1").forEach { turnHosts.start(it, isFirstStart = true) }
        val hosts = turnHosts.awaitHosts("a1", "b1", "c1")
        ports.forEachIndexed { index, port ->
            val settings =
                GatewaySettings(
                    "node$index",
                    FailureDomain("a"),
                    "127.0.0.1:$port",
                    "127.0.0.1:0",
                    relayAddress = null,
                    graceMillis = 3_000,
                )
            val gateway = Gateway(settings, GatewayFixture.wire, groups[index], StructuredLog("node$index"), GatewayMetrics())
            gateway.start()
            gateway.updateTurnHosts(TurnHosts(hosts, 1))
            gateway.submit(ConfigAccepted(GatewayFixture.config))
            gateway.submit(ServerChanged(BackendServer("s1", "tools", server.address, FailureDomain("a"), slots = 400, isDraining = false)))
        }
    }

    fun arrivalsMillis(): List<Long> = arrivals.toList()

    fun stopPacingHost() {
        turnHosts.stop(turnHosts.pacingHost("s1"))
    }

    /** Sends a request every [CALL_INTERVAL_MILLIS] to each entry host for [durationMillis]. */
    fun run(durationMillis: Long) {
        val endMillis = nowMillis() + durationMillis
        val callers =
            ports.map { port ->
                thread {
                    while (nowMillis() < endMillis) {
                        thread { call(port) }
                        Thread.sleep(CALL_INTERVAL_MILLIS)
                    }
                }
            }
        callers.forEach { it.join() }
    }

    private fun call(port: Int) {
        val id = "r${nextId.incrementAndGet()}"
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = CALL_TIMEOUT_MILLIS
            socket.getOutputStream().write(
                "POST /safe/a HTTP/1.1\r\nHost: desk\r\nX-Attempt: $id\r\nContent-Length: 0\r\n\r\n".toByteArray(),
            )
            socket.getInputStream().readMessage()
        }
    }

    override fun close() {
        server.close()
        groups.forEach { it.shutdownGracefully() }
        turnHosts.close()
    }

    companion object {
        const val CALL_INTERVAL_MILLIS = 60L
        private const val CALL_TIMEOUT_MILLIS = 5_000
    }
}
