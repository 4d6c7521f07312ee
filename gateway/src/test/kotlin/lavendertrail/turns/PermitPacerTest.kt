package lavendertrail.turns

import lavendertrail.serving.PermitCandidate
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull

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
}
