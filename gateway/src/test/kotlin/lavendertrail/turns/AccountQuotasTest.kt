package lavendertrail.turns

import lavendertrail.gateway.nowMillis
import lavendertrail.gateway.singleEventLoop
import lavendertrail.model.FailureDomain
import lavendertrail.serving.QuotaUse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Guards against entry hosts that together get more credit than an account has, over real connections. */
class AccountQuotasTest {
    @Test
    fun `the limit is kept and used while the turn host that grants is killed`() {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            val entries = List(ENTRY_HOSTS) { AskingHost(fixture) }
            entries.forEach { it.start() }
            Thread.sleep(3_000)
            val killed = assertNotNull(entries.firstNotNullOfOrNull { it.granter }, "no turn host grants")
            val beforeKill = entries.sumOf { it.grantedAtMillis.size }
            fixture.kill(killed)
            val killedAtMillis = nowMillis()
            Thread.sleep(5_000)
            entries.forEach { it.close() }
            val times = entries.flatMap { it.grantedAtMillis }.sorted()
            val most = times.maxOf { start -> times.count { it in start..start + WINDOW_MILLIS } }
            val bound = (RATE * WINDOW_MILLIS / 1_000 + BURST) * 1.1 + 20
            val later = times.count { it > killedAtMillis + 2_000 }
            println("granted $beforeKill before the kill, ${times.size} in all, at most $most in a window (bound $bound), $later later")
            assertTrue(most <= bound, "$most requests in a window, bound $bound")
            assertTrue(later >= RATE * 3 * 0.8, "$later requests in the 3 s from 2 s after the kill")
            assertTrue(entries.none { it.granter == killed })
        }
    }

    @Test
    fun `a turn host that nobody asks sends no votes`() {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            Thread.sleep(1_500)
            val entry = AskingHost(fixture)
            assertEquals(null, entry.ask(), "a host grants before anybody has asked")
            entry.close()
        }
    }

    /** An entry host that asks for twice the account's rate, together with the others, and spends all it gets at once. */
    private class AskingHost(
        private val fixture: TurnHostsFixture,
    ) {
        private val group = singleEventLoop()
        private val client = TurnClient(group, FailureDomain("a"), cacheBytes = 0) {}
        private val calls = QuotaCalls(client)
        private var sequence = 0L
        private var spent = 0L
        private var isAsking = false
        val grantedAtMillis = CopyOnWriteArrayList<Long>()

        @Volatile
        var granter: String? = null

        init {
            fixture.on(group) { client.updateHosts(fixture.currentHosts()) }
        }

        fun start() {
            group.next().scheduleAtFixedRate(::request, 0, ASK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        }

        private fun request(onDone: (Int?) -> Unit) {
            if (isAsking) return
            isAsking = true
            val use = QuotaUse("bakery", RATE, BURST, 1, spent, heldRequests = 0, NEEDED, aheadRequests = 0)
            calls.report(++sequence, listOf(use)) { decision ->
                isAsking = false
                granter = decision?.granter
                val granted = decision?.grants?.single()?.grantedRequests
                spent += granted ?: 0
                repeat(granted ?: 0) { grantedAtMillis += nowMillis() }
                onDone(granted)
            }
        }

        private fun request() = request {}

        /** The credit that one call brings; null if no host grants. */
        fun ask(): Int? {
            val result = CompletableFuture<Int?>()
            group.next().execute { request(result::complete) }
            return result.get(5, TimeUnit.SECONDS)
        }

        fun close() {
            fixture.on(group) { client.close() }
            group.shutdownGracefully()
        }
    }

    private companion object {
        const val ENTRY_HOSTS = 6
        const val RATE = 50.0
        const val BURST = 20.0
        const val WINDOW_MILLIS = 5_000L
        const val ASK_INTERVAL_MILLIS = 20L
        const val NEEDED = 4
    }
}
