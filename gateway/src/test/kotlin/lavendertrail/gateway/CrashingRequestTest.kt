package lavendertrail.gateway

import io.netty.channel.EventLoopGroup
import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.standins.freePorts
import lavendertrail.turns.TurnHosts
import lavendertrail.turns.TurnHostsFixture
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a request that crashes its servers and goes on reaching servers through entry hosts that haven't seen the crashes. */
class CrashingRequestTest {
    private val turnHosts = TurnHostsFixture()
    private val servers = List(5) { ScriptedServer { _, body -> if (body == POISON) null else signed("done") } }
    private val groups = mutableListOf<EventLoopGroup>()
    private val hosts by lazy {
        TURN_HOSTS.forEach { turnHosts.start(it, isFirstStart = true) }
        turnHosts.awaitHosts("a1", "b1", "c1")
    }

    @AfterTest
    fun close() {
        servers.forEach { it.close() }
        groups.forEach { it.shutdownGracefully() }
        turnHosts.close()
    }

    /** Starts an entry host and returns its port. */
    private fun startEntryHost(): Int {
        val (port, relayPort) = freePorts(2)
        val group = singleEventLoop().also { groups += it }
        val settings =
            GatewaySettings(
                "node$port",
                FailureDomain("a"),
                "127.0.0.1:$port",
                "127.0.0.1:0",
                relayAddress = "127.0.0.1:$relayPort",
                graceMillis = 3_000,
            )
        val gateway = Gateway(settings, GatewayFixture.wire, group, StructuredLog("node$port"), GatewayMetrics())
        gateway.start()
        gateway.updateTurnHosts(TurnHosts(hosts, 1))
        gateway.submit(ConfigAccepted(GatewayFixture.config))
        servers.forEachIndexed { index, server ->
            gateway.submit(
                ServerChanged(BackendServer("s$index", "tools", server.address, FailureDomain("a"), slots = 4, isDraining = false)),
            )
        }
        return port
    }

    private fun send(
        port: Int,
        body: String,
        id: String,
    ): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = CALL_TIMEOUT_MILLIS
            val head = "POST /once/x HTTP/1.1\r\nHost: desk\r\nX-Attempt: $id\r\nContent-Length: ${body.length}\r\n\r\n"
            socket.getOutputStream().write((head + body).toByteArray())
            socket
                .getInputStream()
                .readMessage()
                ?.first
                ?.split(' ')
                ?.get(1)
                .orEmpty()
        }

    private fun runs() = servers.sumOf { server -> server.requests.count { it.second == POISON } }

    @Test
    fun `entry hosts that saw no crash refuse a request that has crashed three servers`() {
        val first = startEntryHost()
        val second = startEntryHost()
        Thread.sleep(MEETING_MILLIS)
        repeat(3) { assertEquals("502", send(first, POISON, "p$it")) }
        Thread.sleep(SPREADING_MILLIS)
        assertEquals(listOf("503", "503"), listOf(first, second).map { send(it, POISON, "q$it") })
        assertEquals("200", send(second, "other", "r1"))
        val late = startEntryHost()
        Thread.sleep(MEETING_MILLIS)
        assertEquals("503", send(late, POISON, "late"))
        assertEquals(3, runs())
    }

    /** Lets the request crash three servers through an entry host that all turn hosts have heard. */
    private fun crashThreeServers(): Int {
        val host = startEntryHost()
        Thread.sleep(MEETING_MILLIS)
        repeat(3) { assertEquals("502", send(host, POISON, "p$it")) }
        Thread.sleep(SPREADING_MILLIS)
        return host
    }

    // Guards against a host that has just started and takes requests before it has heard which of them crash servers.
    @Test
    fun `an entry host refuses a request that has crashed three servers from its start on`() {
        crashThreeServers()
        assertEquals("503", send(startEntryHost(), POISON, "late"))
        assertEquals(3, runs())
    }

    // Guards against reports that all turn hosts forget together.
    @Test
    fun `turn hosts that were all killed at one moment still tell a new entry host of the crashes`() {
        crashThreeServers()
        TURN_HOSTS.forEach { turnHosts.kill(it) }
        TURN_HOSTS.forEach { turnHosts.start(it) }
        assertEquals("503", send(startEntryHost(), POISON, "late"))
        assertEquals(3, runs())
    }

    // Guards against turn hosts with new disks, which nobody tells what was reported before.
    @Test
    fun `an entry host tells turn hosts that have lost their disks of the crashes again`() {
        crashThreeServers()
        TURN_HOSTS.forEach { turnHosts.killAndDiscardDisk(it) }
        TURN_HOSTS.forEach { turnHosts.start(it) }
        Thread.sleep(MEETING_MILLIS)
        assertEquals("503", send(startEntryHost(), POISON, "late"))
        assertEquals(3, runs())
    }

    private companion object {
        val TURN_HOSTS = listOf("a1", "b1", "c1")
        const val POISON = "poison"
        const val CALL_TIMEOUT_MILLIS = 5_000

        /** Longer than the interval at which entry hosts announce themselves to the turn hosts. */
        const val MEETING_MILLIS = 6_000L
        const val SPREADING_MILLIS = 1_000L
    }
}
