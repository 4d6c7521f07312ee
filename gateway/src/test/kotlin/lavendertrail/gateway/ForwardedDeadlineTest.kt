package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.standins.freePorts
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against a server that is handed more time than the caller still waits. */
class ForwardedDeadlineTest {
    private val server =
        ScriptedServer { head, _ ->
            val id = Regex("X-Attempt: (\\S+)").find(head)!!.groupValues[1]
            if ("/slow" in head) Thread.sleep(WAIT_MILLIS)
            signed("done", id)
        }
    private val port = freePorts(1).single()
    private val group = singleEventLoop()
    private val wire = GatewayFixture.wire
    private val protocol =
        GatewayProtocol(
            decodeRequest = wire.decodeRequest,
            serverHeaders = { headers, effect -> wire.serverHeaders(headers, effect).set("X-Deadline", effect.deadlineMillis) },
            decodeResponseHead = wire.decodeResponseHead,
            rejection = wire.rejection,
            readinessPath = wire.readinessPath,
        )

    init {
        val settings = GatewaySettings("node", FailureDomain("a"), "127.0.0.1:$port", "127.0.0.1:0", null, graceMillis = 3_000)
        val gateway = Gateway(settings, protocol, group, StructuredLog("node"), GatewayMetrics())
        gateway.start()
        gateway.submit(ConfigAccepted(GatewayFixture.config))
        gateway.submit(ServerChanged(BackendServer("s1", "tools", server.address, FailureDomain("a"), slots = 4, isDraining = false)))
    }

    @AfterTest
    fun close() {
        server.close()
        group.shutdownGracefully()
    }

    private fun head(
        path: String,
        id: String,
        length: Int,
    ) = "POST $path HTTP/1.1\r\nHost: desk\r\nX-Attempt: $id\r\nContent-Length: $length\r\n\r\n"

    private fun forwardedDeadlineMillis(id: String): Long {
        val head = server.requests.first { "X-Attempt: $id\r\n" in it.first }.first
        return Regex("X-Deadline: (-?\\d+)").find(head)!!.groupValues[1].toLong()
    }

    private fun assertShortened(id: String) {
        val millis = forwardedDeadlineMillis(id)
        assertTrue(millis <= CALLER_DEADLINE_MILLIS - WAIT_MILLIS, "$millis ms")
    }

    private fun withConnection(test: Socket.() -> Unit) {
        Socket("127.0.0.1", port).use {
            it.soTimeout = READ_TIMEOUT_MILLIS
            it.test()
        }
    }

    @Test
    fun `the time that a body takes to arrive is not handed to the server`() =
        withConnection {
            getOutputStream().write(head("/once/a", "r1", 4).toByteArray())
            // The time counts from when the gateway reads the head, which may be later than when it was sent.
            Thread.sleep(WAIT_MILLIS + READ_DELAY_MILLIS)
            getOutputStream().write("body".toByteArray())
            getInputStream().readMessage()
            assertShortened("r1")
        }

    // Guards against servers that are handed more time than is left, by a process that got no processor time for a while.
    @Test
    fun `the time that a request waits while the process stands still is not handed to the server`() =
        withConnection {
            getOutputStream().write(head("/once/first", "r0", 0).toByteArray())
            getInputStream().readMessage()
            val isStalled = CountDownLatch(1)
            group.next().execute {
                isStalled.countDown()
                Thread.sleep(WAIT_MILLIS + STALL_SLACK_MILLIS)
            }
            // The loop reads connections before it runs tasks, so an earlier request may be read before the stall.
            isStalled.await()
            getOutputStream().write(head("/once/a", "r1", 0).toByteArray())
            getInputStream().readMessage()
            assertShortened("r1")
        }

    @Test
    fun `the time that a request waits behind another on its connection is not handed to the server`() =
        withConnection {
            getOutputStream().write((head("/once/slow", "r1", 0) + head("/once/a", "r2", 0)).toByteArray())
            repeat(2) { getInputStream().readMessage() }
            assertShortened("r2")
        }

    private companion object {
        /** A stall shorter than a tick and its tolerance doesn't count. */
        const val STALL_SLACK_MILLIS = 150L

        /** The deadline that the fixture's protocol reads for each request. */
        const val CALLER_DEADLINE_MILLIS = 1_000L
        const val WAIT_MILLIS = 600L
        const val READ_DELAY_MILLIS = 200L
        const val READ_TIMEOUT_MILLIS = 5_000
    }
}
