package lavendertrail.peer

import lavendertrail.journal.JournalAnswer
import lavendertrail.journal.JournalRead
import lavendertrail.journal.JournalReclaim
import lavendertrail.journal.JournalSeal
import lavendertrail.journal.appendRequest
import lavendertrail.journal.entries
import lavendertrail.journal.entry
import lavendertrail.journal.partition
import lavendertrail.journal.record
import lavendertrail.membership.ProbeMessage
import lavendertrail.membership.Suspicion
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.system.measureNanoTime
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

private val suspicion = Suspicion(NodeId("sohar-2"), 1, NodeId("sohar-1"), 12)
internal val probeMessage =
    ProbeMessage(NodeId("sohar-1"), incarnation = 7, leaving = false, configRevision = 42, suspects = listOf(suspicion))
private val submitRequest = SubmitRequest.End(ProgramId("batinah-02a-7f3c"), "done")

internal class PeerServerTest {
    private fun withConnectedClient(
        service: PeerService,
        limits: PeerLimits = PeerLimits(),
        test: (PeerClient) -> Unit,
    ) = peerServer("127.0.0.1", 0, service, limits = PeerLimits()).use { server ->
        peerClient("127.0.0.1:${server.port}", limits).use(test)
    }

    /** Guards against a message that can't be encoded, and a method that is bound to the wrong handler. */
    @Test
    fun `every method reaches its handler at the peer`() {
        val service =
            FakePeerService(onProbe = { it.copy(configRevision = 43) }, onSubmit = {
                _,
                reply,
                ->
                reply(SubmitReply.History(listOf(record("a"))))
            })
        withConnectedClient(service) { client ->
            val replies = mutableListOf<SubmitReply>()
            client.submit(submitRequest) { replies += it }
            assertEquals(listOf<SubmitReply>(SubmitReply.History(listOf(record("a")))), replies)
            assertEquals(probeMessage.copy(configRevision = 43), client.probe(probeMessage))
            assertEquals(JournalAnswer.Unknown, client.sealJournal(JournalSeal(partition, 1)))
            assertEquals(JournalAnswer.Accepted(2, 1, complete = false), client.appendJournal(appendRequest(0..1L, create = true)))
            assertEquals(JournalAnswer.Fenced(1), client.sealJournal(JournalSeal(partition, 0)))
            assertEquals(JournalAnswer.Gap(2), client.appendJournal(appendRequest(5..5L)))
            assertEquals(entries(0..1L), client.readJournal(JournalRead(partition, 0, 10_000)).entries)
            assertEquals(
                JournalAnswer.Accepted(2, 1, complete = false),
                client.reclaimJournal(JournalReclaim(partition, 1, beforeIndex = 0)),
            )
            assertEquals(ConfigPage(emptyList(), 9), client.fetchConfig(8))
            client.offerHandover(NodeId("sohar-1"), listOf(PartitionId(3)))
            assertEquals(listOf(PartitionId(3)), service.handovers)
            assertEquals("""{"node":"fake"}""", client.dump())
            val traffic = client.traffic.snapshot().getValue("Probe")
            assertTrue(traffic.calls == 1L && traffic.failedCalls == 0L && traffic.sentBytes > 0 && traffic.receivedBytes > 0, "$traffic")
        }
    }

    /** Guards against a call that blocks on a frozen peer, and an error that does not name its step and peer. */
    @Test
    fun `a call to a frozen peer ends at its deadline`() {
        val release = CountDownLatch(1)
        val service = FakePeerService(onProbe = { it.also { release.await(20, TimeUnit.SECONDS) } })
        withConnectedClient(service, PeerLimits(probeTimeoutMillis = 300)) { client ->
            val start = System.nanoTime()
            val error = assertFailsWith<PeerException> { client.probe(probeMessage) }.error
            val millis = (System.nanoTime() - start) / 1_000_000
            assertTrue(millis in 200..3_000, "took $millis ms")
            assertEquals("Probe", error.step)
            assertContains(error.peer, "127.0.0.1:")
            assertContains(error.message, "DEADLINE_EXCEEDED")
            release.countDown()
        }
    }

    /** Guards against an exception at the peer that is reported as a lost connection. */
    @Test
    fun `an exception at the peer is reported with its message`() =
        withConnectedClient(FakePeerService(onProbe = { error("no state") })) { client ->
            val error = assertFailsWith<PeerException> { client.probe(probeMessage) }.error
            assertContains(error.message, "INTERNAL: java.lang.IllegalStateException: no state")
        }

    /** Guards against a message that exhausts the memory of the receiver. */
    @Test
    fun `a message above the size limit is rejected`() =
        withConnectedClient(FakePeerService(), PeerLimits(maxMessageBytes = 100_000)) { client ->
            val large =
                appendRequest(
                    0..0L,
                    create = true,
                ).copy(entries = listOf(entry(0).copy(record = record("a", "x".repeat(17 * 1024 * 1024)))))
            assertContains(assertFailsWith<PeerException> { client.appendJournal(large) }.error.message, "RESOURCE_EXHAUSTED")
            val withinServerLimit =
                appendRequest(0..0L, create = true).copy(entries = listOf(entry(0).copy(record = record("a", "x".repeat(200_000)))))
            client.appendJournal(withinServerLimit)
            val error = assertFailsWith<PeerException> { client.readJournal(JournalRead(partition, 0, 1)) }.error
            assertContains(error.message, "RESOURCE_EXHAUSTED")
        }

    /** Guards against text that is buffered until the answer is complete. */
    @Test
    fun `replies are delivered as they arrive`() {
        val seen = CountDownLatch(1)
        val service =
            FakePeerService(onSubmit = { _, reply ->
                reply(SubmitReply.Text(0, "first"))
                check(seen.await(10, TimeUnit.SECONDS)) { "the first reply did not arrive" }
                reply(SubmitReply.Text(5, "second"))
            })
        withConnectedClient(service) { client ->
            val texts = mutableListOf<String>()
            client.submit(submitRequest) {
                texts += (it as SubmitReply.Text).text
                seen.countDown()
            }
            assertEquals(listOf("first", "second"), texts)
        }
    }

    /** Guards against a sender that buffers the whole answer for a slow reader. */
    @Test
    fun `a slow reader applies backpressure to the sender`() {
        val sent = AtomicInteger()
        val service =
            FakePeerService(onSubmit = { _, reply ->
                repeat(3_000) {
                    reply(SubmitReply.Text(0, "x".repeat(10_000)))
                    sent.incrementAndGet()
                }
            })
        withConnectedClient(service) { client ->
            val read = AtomicInteger()
            val release = CountDownLatch(1)
            val reader = thread { client.submit(submitRequest) { if (read.incrementAndGet() == 1) release.await(20, TimeUnit.SECONDS) } }
            Thread.sleep(500)
            assertTrue(sent.get() in 1..1_000, "${sent.get()} of 3000 replies were sent to a reader that took one")
            release.countDown()
            reader.join(20_000)
            assertEquals(3_000, read.get())
        }
    }

    /** Guards against streams that continue after the reader has cancelled them. */
    @Test
    fun `the peer is interrupted when the reader cancels the stream`() {
        val interrupted = CountDownLatch(1)
        val service =
            FakePeerService(onSubmit = { _, reply ->
                reply(SubmitReply.Text(0, "first"))
                try {
                    Thread.sleep(20_000)
                } catch (e: InterruptedException) {
                    interrupted.countDown()
                    throw e
                }
            })
        withConnectedClient(service) { client ->
            assertFailsWith<IllegalStateException> { client.submit(submitRequest) { error("reader failed") } }
            assertTrue(interrupted.await(5, TimeUnit.SECONDS), "the peer was not interrupted")
        }
    }

    /** Guards against a live peer that is considered dead because its connection has stalled. */
    @Test
    fun `a stalled connection is replaced within one call`() =
        peerServer("127.0.0.1", 0, FakePeerService()).use { server ->
            LoopbackProxy(server.port).use { proxy ->
                peerClient(proxy.address, PeerLimits(probeTimeoutMillis = 1_000)).use { client ->
                    client.probe(probeMessage)
                    assertEquals(1, proxy.connectionCount)
                    proxy.stallConnections()
                    assertEquals(probeMessage, client.probe(probeMessage))
                    assertEquals(2, proxy.connectionCount)
                }
            }
        }

    /** Guards against probes that exceed a node's share of bandwidth: a node sends 8 and receives 8 per second. */
    @Test
    fun `a probe costs few bytes on the wire`() =
        peerServer("127.0.0.1", 0, FakePeerService()).use { server ->
            LoopbackProxy(server.port).use { proxy ->
                peerClient(proxy.address).use { client ->
                    repeat(50) { client.probe(probeMessage) }
                    val before = proxy.byteCount.get()
                    repeat(200) { client.probe(probeMessage) }
                    val bytes = (proxy.byteCount.get() - before) / 200
                    val traffic = client.traffic.snapshot().getValue("Probe")
                    val messageBytes = (traffic.sentBytes + traffic.receivedBytes) / traffic.calls
                    println("probe: $bytes bytes on the wire, $messageBytes of them messages")
                    assertTrue(bytes in messageBytes..900, "$bytes bytes on the wire for $messageBytes bytes of messages")
                }
            }
        }

    /** Guards against delays in the transport, such as waiting for full packets: forwarding may add 2 ms to the median call. */
    @Test
    fun `a round trip takes less than a millisecond`() =
        withConnectedClient(FakePeerService()) { client ->
            repeat(2_000) { client.probe(probeMessage) }
            val nanos = List(1_000) { measureNanoTime { client.probe(probeMessage) } }.sorted()
            println("probe: round trip ${nanos[500] / 1_000} µs in the median, ${nanos[990] / 1_000} µs at the 99th percentile")
            assertTrue(nanos[500] < 1_000_000, "median ${nanos[500]} ns")
        }

    /** Guards against plaintext between hosts. */
    @Test
    fun `plaintext is rejected beyond loopback`() {
        assertFailsWith<IllegalArgumentException> { peerServer("0.0.0.0", 0, FakePeerService()) }
        assertFailsWith<IllegalArgumentException> { peerClient("192.0.2.1:7400") }
        assertFailsWith<IllegalArgumentException> { peerClient("127.0.0.1") }
    }
}
