package lavendertrail.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ClientAccount
import lavendertrail.serving.ClientAccounts
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.serving.StoreHeard
import lavendertrail.standins.freePorts
import lavendertrail.turns.CurrentTurnHosts
import lavendertrail.turns.TurnHostsFixture
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against a turn that runs with the chain of another account. */
class AccountTurnsTest {
    private val wire =
        GatewayProtocol(
            decodeRequest = { head ->
                GatewayFixture.wire.decodeRequest(head)?.copy(programId = "p", previousTurnId = head.headers()["X-Previous"])
            },
            serverHeaders = GatewayFixture.wire.serverHeaders,
            decodeResponseHead = GatewayFixture.wire.decodeResponseHead,
            rejection = { _, effect ->
                val status = HttpResponseStatus(if (effect.retryAfterMillis == null) 404 else 503, effect.reason.name)
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
            },
            readinessPath = "/ready",
        )

    private fun config(
        version: Long,
        accounts: Map<String, String>?,
    ) = ConfigAccepted(
        GatewayFixture.config.let { config ->
            config.copy(
                version = version,
                routes = config.routes.map { it.copy(turnRetentionMillis = 60_000) },
                accounts = accounts?.let { names -> ClientAccounts(names.mapValues { ClientAccount(it.value) }) },
            )
        },
    )

    @Test
    fun `a turn can be continued by its account only, and one from before there were accounts by none`() {
        val server =
            ScriptedServer { head, _ ->
                val id = assertNotNull(Regex("X-Attempt: (\\S+)").find(head)).groupValues[1]
                signed("id: 1\ndata: said\n\n", id)
            }
        val turnHosts = TurnHostsFixture()
        val group = singleEventLoop()
        val port = freePorts(1).single()

        fun call(
            id: String,
            body: String,
            vararg headers: String,
        ): String =
            Socket("127.0.0.1", port).use { socket ->
                socket.soTimeout = READ_TIMEOUT_MILLIS
                val lines = listOf("POST /stream/a HTTP/1.1", "Host: desk", "X-Attempt: $id", "Content-Length: ${body.length}") + headers
                socket.getOutputStream().write((lines.joinToString("\r\n", postfix = "\r\n\r\n") + body).toByteArray())
                assertNotNull(socket.getInputStream().readMessage()).first.substringBefore("\r\n")
            }

        turnHosts.use {
            listOf("a1", "b1", "c1").forEach { name -> turnHosts.start(name, isFirstStart = true) }
            turnHosts.awaitHosts("a1", "b1", "c1")
            val settings = GatewaySettings("node", FailureDomain("a"), "127.0.0.1:$port", "127.0.0.1:0", null, graceMillis = 3_000)
            val gateway =
                Gateway(settings, wire, group, StructuredLog("node"), GatewayMetrics()) {
                    var current: CurrentTurnHosts? = null
                    turnHosts.readCurrentHosts { hosts -> current = hosts }
                    current
                }
            gateway.start()
            gateway.updateTurnHosts(turnHosts.currentHosts())
            gateway.submit(config(1, null))
            gateway.submit(ServerChanged(BackendServer("s1", "tools", server.address, FailureDomain("a"), slots = 4, isDraining = false)))
            assertTrue("200" in call("old", "in0"))
            gateway.submit(config(2, mapOf("k1" to "alice", "k2" to "bob")))
            gateway.submit(StoreHeard)
            assertTrue("200" in call("t1", "in1", "X-Key: k1"))
            assertTrue("200" in call("t2", "in2", "X-Key: k1", "X-Previous: t1"))
            assertEquals("in1said\nin2", server.requests.last().second)
            val foreign = listOf(call("t3", "in3", "X-Key: k2", "X-Previous: t1"), call("t4", "in4", "X-Key: k1", "X-Previous: old"))
            assertEquals(List(2) { "HTTP/1.1 404 UNKNOWN_TURN" }, foreign)
            assertEquals(3, server.requests.size)
        }
        server.close()
        group.shutdownGracefully()
    }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 5_000
    }
}
