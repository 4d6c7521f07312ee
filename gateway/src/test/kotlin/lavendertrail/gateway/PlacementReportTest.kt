package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.serving.ServingSettings
import lavendertrail.standins.freePorts
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests that leave their home server without being counted by reason. */
class PlacementReportTest {
    @Test
    fun `a request that its home refuses is counted at home and as a retry elsewhere`() {
        assertEquals(mapOf("home" to 1.0, "retry" to 1.0), placements(ServingSettings(homePreferenceMillis = 10.0)))
    }

    @Test
    fun `nothing is counted where requests have no home`() {
        assertEquals(emptyMap(), placements(ServingSettings()))
    }

    /** The counters above zero after a request that the first of two servers refuses, by reason. */
    private fun placements(serving: ServingSettings): Map<String, Double> {
        var requests = 0
        val refusal = signed("full", ID, "X-Not-Run: 1\r\n").replace("200 OK", "503 Full")
        val servers = List(2) { ScriptedServer { _, _ -> if (requests++ == 0) refusal else signed("done", ID) } }
        val group = singleEventLoop()
        val port = freePorts(1).single()
        val settings = GatewaySettings("node", FailureDomain("a"), "127.0.0.1:$port", "127.0.0.1:0", null, graceMillis = 3_000, serving)
        val metrics = GatewayMetrics()
        val gateway = Gateway(settings, GatewayFixture.wire, group, StructuredLog("node"), metrics)
        gateway.start()
        gateway.submit(ConfigAccepted(GatewayFixture.config))
        servers.forEachIndexed { index, server ->
            val entry = BackendServer("s$index", "tools", server.address, FailureDomain("a"), slots = 4, isDraining = false)
            gateway.submit(ServerChanged(entry))
        }
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            socket.getOutputStream().write(
                "POST /once/x HTTP/1.1\r\nHost: desk\r\nX-Attempt: $ID\r\nContent-Length: 0\r\n\r\n".toByteArray(),
            )
            val answer = socket.getInputStream().readMessage()
            assertTrue("200 OK" in answer.toString(), "$answer")
        }
        servers.forEach { it.close() }
        group.shutdownGracefully()
        val line = Regex("""lavendertrail_placements_total\{reason="(\w+)"} ([0-9.]+)""")
        return line
            .findAll(metrics.scrape())
            .associate { it.groupValues[1] to it.groupValues[2].toDouble() }
            .filterValues { it > 0 }
    }

    private companion object {
        const val ID = "r1"
        const val READ_TIMEOUT_MILLIS = 5_000
    }
}
