package lavendertrail.turns

import lavendertrail.serving.StreamOrigin
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against origins of streams that are lost with a host or a process, or reported as missing while hosts that have them are away. */
class StreamOriginsTest {
    private val origin = StreamOrigin("engines", "v1")

    private fun TurnHostsFixture.storeOrigin(attemptId: String) {
        on(clientGroup) { client.storeOrigin(OriginRecord(attemptId, origin, System.currentTimeMillis() + 60_000)) }
        TurnHostsFixture.awaitCondition("origin of $attemptId") { loadOrigin(attemptId).first != null }
    }

    private fun TurnHostsFixture.loadOrigin(attemptId: String): Pair<StreamOrigin?, Boolean> {
        val result = CompletableFuture<Pair<StreamOrigin?, Boolean>>()
        on(clientGroup) { client.loadOrigin(attemptId, 1_500) { found, isCertain -> result.complete(found to isCertain) } }
        return result.get(5, TimeUnit.SECONDS)
    }

    private fun withHosts(test: TurnHostsFixture.() -> Unit) {
        TurnHostsFixture().use { hosts ->
            listOf("a1", "b1", "c1").forEach { hosts.start(it, isFirstStart = true) }
            hosts.awaitHosts("a1", "b1", "c1")
            hosts.test()
        }
    }

    @Test
    fun `an origin is found while one host is away`() =
        withHosts {
            val attempts = List(6) { "attempt$it" }
            attempts.forEach { storeOrigin(it) }
            // The copies are written concurrently; the last one follows the first.
            Thread.sleep(COPY_MILLIS)
            stop("b1")
            for (attempt in attempts) assertEquals(origin, loadOrigin(attempt).first, attempt)
        }

    @Test
    fun `origins outlive a restart of all hosts`() =
        withHosts {
            storeOrigin("attempt")
            listOf("a1", "b1", "c1").forEach { stop(it) }
            listOf("a1", "b1", "c1").forEach { start(it) }
            TurnHostsFixture.awaitCondition("origin after the restart") {
                on(clientGroup) { client.probeUnresponsive() }
                loadOrigin("attempt").first == origin
            }
        }

    @Test
    fun `a host with a new disk copies origins`() =
        withHosts {
            storeOrigin("attempt")
            stopAndDiscardDisk("a1")
            start("a1")
            awaitHosts("a1", "b1", "c1")
            TurnHostsFixture.awaitCondition("certainty") { loadOrigin("unknown") == (null to true) }
            Thread.sleep(COPY_MILLIS)
            stop("b1")
            TurnHostsFixture.awaitCondition("origin at the hosts left") { loadOrigin("attempt").first == origin }
        }

    @Test
    fun `an origin is certain to be unknown only if enough hosts have answered`() =
        withHosts {
            assertEquals(null to true, loadOrigin("unknown"))
            stop("b1")
            stop("c1")
            TurnHostsFixture.awaitCondition("uncertainty") { loadOrigin("unknown") == (null to false) }
        }

    private companion object {
        const val COPY_MILLIS = 300L
    }
}
