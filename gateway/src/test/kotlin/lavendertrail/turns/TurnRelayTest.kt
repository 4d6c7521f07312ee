package lavendertrail.turns

import lavendertrail.gateway.singleEventLoop
import lavendertrail.gateway.socketAddress
import lavendertrail.model.FailureDomain
import lavendertrail.serving.HistoryResult
import lavendertrail.serving.ReservationResult
import lavendertrail.standins.LoopbackProxy
import lavendertrail.standins.freePorts
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Tests an entry host whose connections to all turn hosts drop all data, with another entry host whose connections work. Guards
 * against refusing all turns at such a host: if most entry hosts of a failure domain are cut off, callers have no other.
 */
class TurnRelayTest {
    @Test
    fun `an entry host that is cut off serves turns through another entry host`() {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            val hosts = fixture.awaitHosts("a1", "b1", "c1")
            val proxies = hosts.associate { it.address to LoopbackProxy(it.address.substringAfter(':').toInt()) }
            val relayGroup = singleEventLoop()
            val relayAddress = "127.0.0.1:${freePorts(1).single()}"
            val relayServer = startRelayServer(fixture.client.relay, socketAddress(relayAddress), relayGroup)
            val group = singleEventLoop()
            val through = { address: String -> socketAddress("127.0.0.1:${proxies.getValue(address).port}") }
            val cutOffClient = TurnClient(group, FailureDomain("a"), cacheBytes = 0, through, fixture::readCurrentHosts) {}
            fixture.on(group) { cutOffClient.updateHosts(fixture.currentHosts()) }
            try {
                assertEquals(ReservationResult.RESERVED, fixture.reserve("r1", 60, 100, by = cutOffClient, on = group))
                TurnHostsFixture.awaitCondition("relay address of the other entry host") {
                    fixture.on(fixture.clientGroup) { fixture.client.exchangeRelayAddresses(relayAddress) }
                    fixture.on(group) { cutOffClient.exchangeRelayAddresses("127.0.0.1:1") }
                    fixture.on(group) { cutOffClient.hasRelayAddresses }
                }
                fixture.save("t1")
                proxies.values.forEach { it.silence() }
                TurnHostsFixture.awaitCondition("turn hosts reached through the other entry host") {
                    fixture.on(group) { cutOffClient.exchangeRelayAddresses("127.0.0.1:1") }
                    fixture.on(group) { cutOffClient.probeUnresponsive() }
                    fixture.on(group) { cutOffClient.isRelayed && cutOffClient.isReachable }
                }
                assertEquals(HistoryResult.FOUND, fixture.load("t1", by = cutOffClient, on = group).first)
                assertEquals(HistoryResult.NO_SUCH_TURN, fixture.load("t9", by = cutOffClient, on = group).first)
                assertEquals(ReservationResult.SPENT, fixture.reserve("r2", 60, 100, by = cutOffClient, on = group))
                assertTrue(fixture.save("t2", by = cutOffClient, on = group))
                assertEquals(HistoryResult.FOUND, fixture.load("t2").first)
                proxies.values.forEach { it.resume() }
                TurnHostsFixture.awaitCondition("direct calls") {
                    fixture.on(group) { cutOffClient.probeUnresponsive() }
                    fixture.on(group) { !cutOffClient.isRelayed && cutOffClient.isReachable }
                }
            } finally {
                proxies.values.forEach { it.close() }
                relayServer.shutdownNow()
                cutOffClient.close()
                group.shutdownGracefully()
                relayGroup.shutdownGracefully()
            }
        }
    }

    // After a simultaneous restart of all hosts, the first replies of the turn hosts took longer than 250 ms, and every entry host
    // considered them lost (recorded day inc-bf1b of valdivieso-ruta).
    @Test
    fun `a host that has not replied yet is unresponsive only after a second`() {
        TurnHostsFixture().use { fixture ->
            fixture.start("a1", isFirstStart = true)
            TurnHostsFixture.awaitCondition("a listed host") { fixture.listedHosts().size == 1 }
            val port =
                fixture
                    .listedHosts()
                    .single()
                    .address
                    .substringAfter(':')
                    .toInt()
            LoopbackProxy(port).use { proxy ->
                proxy.silence()
                val group = singleEventLoop()
                val peer = TurnPeer("127.0.0.1:${proxy.port}", group)
                val started = System.nanoTime()
                fixture.on(group) { peer.call(TurnMethods.chain, ChainRequest("x"), 10_000) {} }
                Thread.sleep(450)
                val isUnresponsive = fixture.on(group) { peer.isUnresponsive }
                val waitedMillis = (System.nanoTime() - started) / 1_000_000
                assertTrue(!isUnresponsive || waitedMillis > 1_000, "unresponsive after $waitedMillis ms")
                TurnHostsFixture.awaitCondition("unresponsive state of a host that never replies") {
                    fixture.on(group) { peer.isUnresponsive }
                }
                peer.close()
                group.shutdownGracefully()
            }
        }
    }

    @Test
    fun `a relay that is cut off itself replies at once without a result`() {
        var reply: RelayReply? = null
        TurnRelay { null }.forward(RelayRequest("10.1.0.7:7020", "Use", ByteArray(0))) { reply = it }
        assertEquals(null, reply?.reply)
        assertFalse(reply == null)
    }

    @Test
    fun `a turn host returns the relay addresses that were announced recently`() {
        var nowMillis = 0L
        val hosts = EntryHosts { nowMillis }
        assertEquals(emptyList(), hosts.announce("e1"))
        assertEquals(listOf("e1"), hosts.announce("e2"))
        nowMillis += 20_000
        assertEquals(emptyList(), hosts.announce("e2"))
    }
}
