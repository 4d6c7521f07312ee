package lavendertrail.gateway

import lavendertrail.model.FailureDomain
import lavendertrail.serving.BackendServer
import lavendertrail.serving.ConfigAccepted
import lavendertrail.serving.ServerChanged
import lavendertrail.serving.ServingSettings
import lavendertrail.serving.StoreReachabilityChanged
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests to a leaving server, and refusals in their place, at a busy host that can't read the store (DRAIN). */
class LeavingServerLoadTest {
    @Test
    fun `a host that can not read the store sends a leaving server nothing and refuses nothing`() {
        for (seed in 1L..SEEDS) {
            LeavingServerRun(seed).use { run ->
                run.play()
                assertTrue(run.waitedAtMost > 0, "seed $seed: no request had to wait")
                assertEquals(emptySet(), run.lateRequestsAtLeavingServer, "seed $seed")
                assertEquals(emptyList(), run.refused.toList(), "seed $seed")
            }
        }
    }

    private companion object {
        const val SEEDS = 10L
    }
}

/**
 * Callers on kept connections, as many as one server has slots and places to wait, so that no request may be refused. The other server
 * says that it leaves from some answer on.
 */
private class LeavingServerRun(
    private val seed: Long,
) : AutoCloseable {
    private val firstMarkedAnswer = FIRST_MARKED_ANSWERS.random(Random(seed))
    private val answers = AtomicInteger()
    private val stayingServer = ScriptedServer { head, _ -> respond(head, "") }
    private val fixture =
        GatewayFixture { head, _ -> respond(head, if (answers.incrementAndGet() >= firstMarkedAnswer) "X-Leaving: 1\r\n" else "") }
    private val leaving = BackendServer("s1", "tools", fixture.server.address, FailureDomain("a"), SLOTS, isDraining = false)
    private val staying = BackendServer("s2", "tools", stayingServer.address, FailureDomain("a"), SLOTS, isDraining = false)

    /** Requests that were sent after a caller had received an answer with the mark. */
    private val lateIds: MutableSet<String> = ConcurrentHashMap.newKeySet()

    @Volatile
    private var isMarkSeen = false

    val refused = ConcurrentLinkedQueue<String>()

    /** The largest number of requests that waited at the server that stays. */
    var waitedAtMost = 0.0
        private set

    val lateRequestsAtLeavingServer: Set<String>
        get() = fixture.server.requests.mapTo(mutableSetOf()) { (head, _) -> idIn(head) } intersect lateIds

    private fun respond(
        head: String,
        mark: String,
    ): String {
        Thread.sleep(Random.nextLong(MAX_SERVICE_MILLIS))
        return signed("x", idIn(head), mark)
    }

    private fun idIn(head: String) = checkNotNull(Regex("X-Attempt: (\\S+)").find(head)).groupValues[1]

    fun play() {
        val patientRoutes = GatewayFixture.config.routes.map { it.copy(timeoutMillis = DEADLINE_MILLIS) }
        fixture.gateway.submit(ConfigAccepted(GatewayFixture.config.copy(version = 2, routes = patientRoutes)))
        fixture.gateway.submit(ServerChanged(staying))
        fixture.gateway.submit(StoreReachabilityChanged(false))
        fixture.awaitSubmittedTasks()
        val callers = List(CALLERS) { thread(isDaemon = true) { callRepeatedly(it) } }
        while (callers.any { it.isAlive }) {
            // An entry that is read late still names the server as ready.
            fixture.gateway.submit(ServerChanged(leaving))
            val dump = fixture.gateway.dump()
            waitedAtMost = maxOf(waitedAtMost, dump.serverOccupancy.getValue(staying.id) - SLOTS)
            Thread.sleep(ENTRY_INTERVAL_MILLIS)
        }
    }

    private fun callRepeatedly(caller: Int) {
        val random = Random(seed * CALLERS + caller)
        fixture.connect().use { connection ->
            var number = 0
            while (lateIds.size < LATE_REQUESTS) {
                val id = "r-$caller-${number++}"
                if (isMarkSeen) lateIds += id
                val answer = with(fixture) { connection.exchange("/safe/$id", "", id, "X-Deadline: $DEADLINE_MILLIS\r\n") }
                val head = answer?.first ?: return Unit.also { refused += "$id: no answer" }
                if (!head.startsWith("HTTP/1.1 200")) refused += "$id: $head"
                if ("X-Leaving: 1" in head) isMarkSeen = true
                Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
            }
        }
    }

    override fun close() {
        fixture.close()
        stayingServer.close()
    }

    private companion object {
        const val SLOTS = 4
        val CALLERS = (SLOTS * (1 + ServingSettings().maxWaitingPerSlot)).toInt()
        const val LATE_REQUESTS = 1_000
        const val DEADLINE_MILLIS = 10_000L
        const val MAX_SERVICE_MILLIS = 6L
        const val MAX_PAUSE_MILLIS = 3L
        const val ENTRY_INTERVAL_MILLIS = 10L
        val FIRST_MARKED_ANSWERS = 1..200
    }
}
