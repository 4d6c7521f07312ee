package lavendertrail.turns

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import lavendertrail.gateway.singleEventLoop
import lavendertrail.gateway.socketAddress
import lavendertrail.standins.LoopbackProxy
import lavendertrail.standins.freePorts
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Guards against mixed-up or lost replies, since all calls to a host share one stream, and against a stream that has gone silent. */
class TurnPeerTest {
    private val serverGroup = singleEventLoop()
    private val clientGroup = singleEventLoop()
    private val port = freePorts(1).single()

    private fun withPeer(
        vararg handlers: Pair<String, CallHandler>,
        test: (TurnPeer, LoopbackProxy) -> Unit,
    ) {
        val server = startCallServer(handlers.toMap(), socketAddress("127.0.0.1:$port"), serverGroup)
        LoopbackProxy(port).use { proxy ->
            TurnPeer("127.0.0.1:${proxy.port}", clientGroup).use { test(it, proxy) }
        }
        server.shutdownNow()
        clientGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
        serverGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
    }

    private fun TurnPeer.relayAddresses(
        own: String,
        timeoutMillis: Long = 2_000,
    ) = callBlocking(clientGroup, TurnMethods.meet, MeetRequest(own), timeoutMillis)

    private val echo = callHandler(TurnMethods.meet) { request, reply -> reply(MeetReply(listOf(request.relayAddress))) }

    @Test
    fun `replies in another order than the requests reach their callers`() {
        val delayedReplies = CopyOnWriteArrayList<() -> Unit>()
        val handler =
            callHandler(TurnMethods.meet) { request, reply ->
                delayedReplies += { reply(MeetReply(listOf(request.relayAddress))) }
                if (delayedReplies.size == 3) delayedReplies.reversed().forEach { it() }
            }
        withPeer(handler) { peer, _ ->
            val received = CopyOnWriteArrayList<Pair<String, List<String>?>>()
            for (name in listOf("a", "b", "c")) {
                clientGroup.execute {
                    peer.call(TurnMethods.meet, MeetRequest(name), 2_000) { received += name to it.get()?.relayAddresses }
                }
            }
            TurnHostsFixture.awaitCondition("three replies", timeoutMillis = 3_000) { received.size == 3 }
            assertEquals(listOf("c" to listOf("c"), "b" to listOf("b"), "a" to listOf("a")), received.toList())
        }
    }

    @Test
    fun `a call after a silent connection uses a new one`() {
        withPeer(echo) { peer, proxy ->
            assertEquals(listOf("a"), peer.relayAddresses("a").get()?.relayAddresses)
            proxy.silence()
            assertNotNull(peer.relayAddresses("b", timeoutMillis = 200).getError())
            proxy.resume()
            assertEquals(listOf("c"), peer.relayAddresses("c").get()?.relayAddresses)
        }
    }

    @Test
    fun `a call whose connection is reset is repeated and the host is not taken as lost`() {
        val held = CopyOnWriteArrayList<() -> Unit>()
        val echoAfterFirst =
            callHandler(TurnMethods.meet) { request, reply ->
                if (request.relayAddress == "held" && held.isEmpty()) held += {} else reply(MeetReply(listOf(request.relayAddress)))
            }
        withPeer(echoAfterFirst) { peer, proxy ->
            assertEquals(listOf("a"), peer.relayAddresses("a").get()?.relayAddresses)
            val received = CopyOnWriteArrayList<List<String>?>()
            clientGroup.execute { peer.call(TurnMethods.meet, MeetRequest("held"), 2_000) { received += it.get()?.relayAddresses } }
            TurnHostsFixture.awaitCondition("request at the host", timeoutMillis = 2_000) { held.isNotEmpty() }
            proxy.resetConnections()
            TurnHostsFixture.awaitCondition("reply on a new connection", timeoutMillis = 2_000) { received.isNotEmpty() }
            assertEquals(listOf<List<String>?>(listOf("held")), received.toList())
            assertEquals(false, clientGroup.next().submit<Boolean> { peer.isUnresponsive }.get())
        }
    }

    @Test
    fun `an unknown method fails without ending the other calls`() {
        withPeer(echo) { peer, _ ->
            assertNotNull(peer.callBlocking(clientGroup, TurnMethods.chain, ChainRequest("x"), 2_000).getError())
            assertNull(peer.relayAddresses("a").getError())
        }
    }
}
