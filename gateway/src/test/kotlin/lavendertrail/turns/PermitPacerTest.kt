package lavendertrail.turns

import io.netty.channel.EventLoopGroup
import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import lavendertrail.model.StepError
import lavendertrail.serving.PermitCandidate
import lavendertrail.serving.StatedLimit
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against two turn hosts that hand out the whole limit of one server, to entry hosts that reach different ones (LIMIT). */
class PermitPacerTest {
    private val candidates = listOf(PermitCandidate("s1", requestsPerSecond = 20.0, statedMillisAgo = 0, startDelayMillis = 0))

    private fun TurnHostsFixture.requestPermit(): PermitReply? {
        val result = CompletableFuture<PermitReply?>()
        on(clientGroup) {
            client.probeUnresponsive()
            client.requestPermit(candidates, maxWaitMillis = 1_000) { _, reply -> result.complete(reply) }
        }
        return result.get(5, TimeUnit.SECONDS)
    }

    /** The permits that [clients] together get within [millis], by server. */
    private fun TurnHostsFixture.countPermits(
        serverIds: List<String>,
        clients: List<Pair<TurnClient, EventLoopGroup>>,
        millis: Long,
    ): Map<String, Int> {
        val granted = serverIds.associateWith { 0 }.toMutableMap()
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis)
        while (System.nanoTime() < endNanos) {
            for ((client, group) in clients) {
                for (serverId in serverIds) {
                    val candidate = PermitCandidate(serverId, RATE, statedMillisAgo = 0, startDelayMillis = 0)
                    val result = CompletableFuture<PermitReply?>()
                    on(group) { client.requestPermit(listOf(candidate), maxWaitMillis = 0) { _, reply -> result.complete(reply) } }
                    if (result.get(5, TimeUnit.SECONDS)?.decision?.serverId != null) granted.merge(serverId, 1, Int::plus)
                }
            }
            Thread.sleep(10)
        }
        return granted
    }

    // review/14: a turn host granted the whole limit of a server to an entry host with an old list, beside the new pacer.
    @Test
    fun `an entry host that can't read the store gets its permits from the new pacer`() {
        TurnHostsFixture(storeWatchWaitMillis = 500).use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            val servers = List(40) { "s$it" }
            val oldPacers = servers.associateWith { fixture.pacingHost(it) }
            val group = singleEventLoop()
            val refused = TurnClient(group, FailureDomain("b"), cacheBytes = 0) {}
            val oldList = fixture.currentHosts()
            fixture.on(group) { refused.updateHosts(oldList) }
            fixture.start("d1")
            fixture.awaitHosts("a1", "b1", "c1", "d1")
            val moved = servers.filter { fixture.pacingHost(it) != oldPacers[it] }.take(3)
            assertTrue(moved.isNotEmpty())
            val granted = fixture.countPermits(moved, listOf(refused to group, fixture.client to fixture.clientGroup), WINDOW_MILLIS)
            val allowed = 1.5 * RATE * WINDOW_MILLIS / 1_000 + 5
            assertEquals(emptyMap(), granted.filterValues { it > allowed || it < RATE * WINDOW_MILLIS / 1_000 / 4 })
            fixture.on(group) { refused.close() }
            group.shutdownGracefully()
        }
    }

    @Test
    fun `reports of an entry host with an old list reach the hosts that it knows`() {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            val oldList = fixture.currentHosts()
            fixture.start("d1")
            fixture.awaitHosts("a1", "b1", "c1", "d1")
            val group = singleEventLoop()
            val failures = CopyOnWriteArrayList<StepError>()
            val refused = TurnClient(group, FailureDomain("b"), cacheBytes = 0, onCallFailure = failures::add)
            fixture.on(group) {
                refused.updateHosts(oldList)
                refused.reportLimit(StatedLimit("s1", RATE, 0))
            }
            Thread.sleep(1_000)
            assertEquals(emptyList<StepError>(), failures)
            fixture.on(group) { refused.close() }
            group.shutdownGracefully()
        }
    }

    @Test
    fun `an entry host that does not reach the pacer of a server asks no other turn host`() {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            TurnHostsFixture.awaitCondition("permit") { fixture.requestPermit() != null }
            val pacer = fixture.pacingHost("s1")
            fixture.kill(pacer)
            repeat(5) { assertNull(fixture.requestPermit()) }
            fixture.start(pacer)
            TurnHostsFixture.awaitCondition("permit after the restart") { fixture.requestPermit() != null }
            assertNotNull(fixture.requestPermit())
        }
    }

    private companion object {
        const val RATE = 8.0
        const val WINDOW_MILLIS = 4_000L
    }
}
