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
 * An entry host whose links to all hosts with disks are silent, beside one whose links work. Guards against refusing every
 * turn that arrives at such a host: where most entry hosts of a failure domain are cut off, callers have no other.
 */
class TurnRelayTest {
    @Test
    fun `an entry host that is cut off serves turns by way of another one`() {
        TurnHostsBench().use { bench ->
            listOf("a1", "b1", "c1").forEach { bench.start(it, isFirstStart = true) }
            val hosts = bench.awaitHosts("a1", "b1", "c1")
            val proxies = hosts.associate { it.address to LoopbackProxy(it.address.substringAfter(':').toInt()) }
            val relayGroup = singleEventLoop()
            val relayAddress = "127.0.0.1:${freePorts(1).single()}"
            val relayServer = startRelayServer(bench.client.relay, socketAddress(relayAddress), relayGroup)
            val group = singleEventLoop()
            val through = { address: String -> socketAddress("127.0.0.1:${proxies.getValue(address).port}") }
            val cut = TurnClient(group, FailureDomain("a"), cacheBytes = 0, through) {}
            bench.on(group) { cut.update(TurnHosts(hosts, 1)) }
            try {
                assertEquals(ReservationResult.RESERVED, bench.reserve("r1", 60, 100, by = cut, on = group))
                TurnHostsBench.awaitTrue("the other entry host is known") {
                    bench.on(bench.clientGroup) { bench.client.meet(relayAddress) }
                    bench.on(group) { cut.meet("127.0.0.1:1") }
                    bench.on(group) { cut.knowsRelays }
                }
                bench.save("t1")
                proxies.values.forEach { it.silence() }
                TurnHostsBench.awaitTrue("hosts reached by way of the other entry host") {
                    bench.on(group) { cut.meet("127.0.0.1:1") }
                    bench.on(group) { cut.probe() }
                    bench.on(group) { cut.isRelayed && cut.isReachable }
                }
                assertEquals(HistoryResult.FOUND, bench.load("t1", by = cut, on = group).first)
                assertEquals(HistoryResult.NO_SUCH_TURN, bench.load("t9", by = cut, on = group).first)
                assertEquals(ReservationResult.SPENT, bench.reserve("r2", 60, 100, by = cut, on = group))
                assertTrue(bench.save("t2", by = cut, on = group))
                assertEquals(HistoryResult.FOUND, bench.load("t2").first)
                proxies.values.forEach { it.resume() }
                TurnHostsBench.awaitTrue("direct calls again") {
                    bench.on(group) { cut.probe() }
                    bench.on(group) { !cut.isRelayed && cut.isReachable }
                }
            } finally {
                proxies.values.forEach { it.close() }
                relayServer.shutdownNow()
                cut.close()
                group.shutdownGracefully()
                relayGroup.shutdownGracefully()
            }
        }
    }

    // After a restart of all hosts at once every entry host took the hosts with disks for lost, whose first answers took
    // longer than 250 ms (recorded day inc-bf1b of valdivieso-ruta).
    @Test
    fun `a host that has not answered yet is given a second`() {
        TurnHostsBench().use { bench ->
            bench.start("a1", isFirstStart = true)
            TurnHostsBench.awaitTrue("the host is listed") { bench.listed().size == 1 }
            val port =
                bench
                    .listed()
                    .single()
                    .address
                    .substringAfter(':')
                    .toInt()
            LoopbackProxy(port).use { proxy ->
                proxy.silence()
                val group = singleEventLoop()
                val peer = TurnPeer("127.0.0.1:${proxy.port}", group)
                val started = System.nanoTime()
                bench.on(group) { peer.call(TurnMethods.chain, ChainRequest("x"), 10_000) {} }
                Thread.sleep(450)
                val isSuspect = bench.on(group) { peer.isSuspect }
                val waitedMillis = (System.nanoTime() - started) / 1_000_000
                assertTrue(!isSuspect || waitedMillis > 1_000, "suspect after $waitedMillis ms")
                TurnHostsBench.awaitTrue("suspicion of a host that stays silent") { bench.on(group) { peer.isSuspect } }
                peer.close()
                group.shutdownGracefully()
            }
        }
    }

    @Test
    fun `a relaying host that is cut off itself says so at once`() {
        var reply: RelayReply? = null
        TurnRelay { null }.pass(RelayRequest("10.1.0.7:7020", "Use", ByteArray(0))) { reply = it }
        assertEquals(null, reply?.reply)
        assertFalse(reply == null)
    }

    @Test
    fun `a host with a disk names entry hosts that called lately`() {
        var nowMillis = 0L
        val hosts = EntryHosts { nowMillis }
        assertEquals(emptyList(), hosts.meet("e1"))
        assertEquals(listOf("e1"), hosts.meet("e2"))
        nowMillis += 20_000
        assertEquals(emptyList(), hosts.meet("e2"))
    }
}
