package lavendertrail.dispatch

import lavendertrail.model.ServerId
import lavendertrail.model.Usage
import lavendertrail.reducer.CacheEvent
import lavendertrail.reducer.CacheEventsReceived
import lavendertrail.reducer.PromptPrefix
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.ServerReachability
import lavendertrail.reducer.TransferCache
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PlacementTest {
    private val two = listOf(engine(1), engine(2))

    private fun DispatchFixture.other(server: ServerId): ServerId = if (server == server(1)) server(2) else server(1)

    /** Completes one call of program `p`, by default with a prompt of 20,000 tokens, and returns its server. */
    private fun DispatchFixture.completeFirstCall(promptTokens: Int = 20_000): ServerId {
        val call = request(modelCall(program("p"), 0, promptTokens = promptTokens, chain = listOf(PromptPrefix("h0", promptTokens))))
        val server = checkNotNull(serverOf(call))
        complete(call, Usage(promptTokens = promptTokens.toLong(), generatedTokens = 50))
        return server
    }

    private fun next(promptTokens: Int = 20_100) =
        modelCall(
            program("p"),
            1,
            promptTokens = promptTokens,
            chain = listOf(PromptPrefix("h0", promptTokens - 100), PromptPrefix("h1", promptTokens)),
        )

    private class Case(
        val name: String,
        val disturb: DispatchFixture.(ServerId) -> Unit,
        val staysOnServer: Boolean,
    )

    /** Guards against calls that leave the server with their cached prefix needlessly, or stay there after it was lost. */
    @Test
    fun `the next turn runs where its prefix is cached unless another server is faster`() {
        val cases =
            listOf(
                Case("nothing happened", {}, staysOnServer = true),
                Case("little load there", { send(ServerLoadReported(it, load(running = 2))) }, staysOnServer = true),
                Case(
                    "some prefill queue there",
                    { send(ServerLoadReported(it, load(running = 1, waitingTokens = 2_000))) },
                    staysOnServer = true,
                ),
                Case(
                    "long prefill queue there",
                    { send(ServerLoadReported(it, load(running = 3, waitingTokens = 60_000))) },
                    staysOnServer = false,
                ),
                Case("server restarted", {
                    send(ServerReachability(it, reachable = true, incarnation = "a"))
                    send(ServerReachability(it, reachable = true, incarnation = "b"))
                    send(ServerLoadReported(it, load(running = 1, waitingTokens = 2_000)))
                }, staysOnServer = false),
                Case("prefix evicted", {
                    send(CacheEventsReceived(it, listOf(CacheEvent("h0", 20_000, stored = false)), gap = false))
                    send(ServerLoadReported(it, load(running = 1, waitingTokens = 2_000)))
                }, staysOnServer = false),
                Case("events lost", { send(CacheEventsReceived(it, emptyList(), gap = true)) }, staysOnServer = true),
                Case("server leaving", { send(ServerLoadReported(it, load(leaving = true))) }, staysOnServer = false),
            )
        val actual =
            cases.associate { case ->
                val fixture = DispatchFixture(two)
                val cachedServer = fixture.completeFirstCall()
                fixture.tick(5_000, stepMillis = 5_000)
                case.disturb(fixture, cachedServer)
                case.name to (fixture.serverOf(fixture.request(next())) == cachedServer)
            }
        assertEquals(cases.associate { it.name to it.staysOnServer }, actual)
    }

    /** Guards against using a shared prefix only for the program that created it. */
    @Test
    fun `a new program goes where its system prompt is cached`() {
        val prefix = PromptPrefix("system", 12_000)
        repeat(8) { seed ->
            val fixture = DispatchFixture(seed = seed * 100L)
            fixture.send(CacheEventsReceived(server(3), listOf(CacheEvent("system", 12_000, stored = true)), gap = false))
            val call =
                fixture.request(
                    modelCall(program("new"), promptTokens = 12_100, chain = listOf(prefix, PromptPrefix("own", 12_100))),
                )
            assertEquals(server(3), fixture.serverOf(call))
        }
    }

    /** Guards against counting a cached prefix in full after events were lost, and against entries that never expire. */
    @Test
    fun `the expected length of a cached prefix decreases with age and event gaps`() {
        val call = modelCall(program("p"), 0, promptTokens = 1_001, chain = listOf(PromptPrefix("h", 1_000)))
        val stored = PrefixCacheIndex().withEvents(server(1), listOf(CacheEvent("h", 1_000, stored = true)), gap = false, nowMillis = 0)

        fun tokens(
            index: PrefixCacheIndex,
            nowMillis: Long,
        ) = index.expectedTokens(call, nowMillis, halfLifeMillis = 1_000)[server(1)]

        assertEquals(1_000, tokens(stored, 0))
        assertEquals(500, tokens(stored, 1_000))
        assertEquals(500, tokens(stored.withEvents(server(1), emptyList(), gap = true, nowMillis = 0), 0))
        assertNull(tokens(stored.withEmptyCache(server(1)), 0))
    }

    /** Guards against recomputing a long prefix that could be copied from another server. */
    @Test
    fun `the prefix is copied where that is cheaper than recomputing it`() {
        val fixture = DispatchFixture(two)
        val cachedServer = fixture.completeFirstCall()
        fixture.send(ServerLoadReported(cachedServer, load(running = 3, waitingTokens = 60_000)))
        val call = fixture.request(next())
        assertEquals(TransferCache(program("p"), cachedServer, fixture.other(cachedServer), 20_050), fixture.last<TransferCache>())
        val note = fixture.state.placementsOf(program("p")).last()
        assertEquals(call, note.call)
        assertEquals(cachedServer, note.estimates.first().transferFrom)
    }

    /** Guards against a thundering herd: many nodes with the same load reports that all choose the same server. */
    @Test
    fun `near-equal candidates are spread by the seed`() {
        val chosen = (0L until 40).map { seed -> DispatchFixture(seed = seed).let { it.serverOf(it.request(modelCall(program("p")))) } }
        assertEquals(4, chosen.toSet().size)
        assertTrue(
            chosen
                .groupingBy { it }
                .eachCount()
                .values
                .all { it <= 20 },
        )
    }

    /** Guards against queueing calls at a server while the node could keep them and choose a server later. */
    @Test
    fun `calls wait when every candidate is at its limit`() {
        val fixture = DispatchFixture(two)
        repeat(10) { fixture.request(modelCall(program("p$it"))) }
        val limit = 2 * 2
        assertEquals(limit, fixture.running.size)
        fixture.complete(fixture.running.keys.first())
        assertTrue(fixture.running.size >= limit)
    }

    /** Guards against recomputing a long prefix when its server has a free slot shortly after, and against an unbounded wait. */
    @Test
    fun `a call is held for the server with its cached prefix for a limited time`() {
        val fixture = DispatchFixture(listOf(engine(1, maxRunningCalls = 1), engine(2, maxRunningCalls = 1)))
        val cachedServer = fixture.completeFirstCall(200_000)
        val blocker = checkNotNull(fixture.request(modelCall(program("x"), promptTokens = 100)))
        if (fixture.serverOf(blocker) != cachedServer) {
            fixture.request(modelCall(program("y"), promptTokens = 100))
            fixture.complete(blocker)
        }
        val held = fixture.request(next(200_100))
        assertNull(fixture.serverOf(held))
        fixture.complete(fixture.running.keys.first { fixture.serverOf(it) == cachedServer })
        assertEquals(cachedServer, fixture.serverOf(held))

        fixture.complete(held, Usage(promptTokens = 200_100, cachedTokens = 200_000, generatedTokens = 10))
        fixture.send(ServerLoadReported(cachedServer, load(running = 1, waitingTokens = 2_000)))
        val heldUntilTimeout = fixture.request(next(200_200).copy(call = lavendertrail.model.CallId(program("p"), 2)))
        fixture.tick(DispatchSettings().maxHoldMillis + 200)
        assertNotNull(fixture.serverOf(heldUntilTimeout))
    }

    /** Guards against a subset of which more than one server changes when one server leaves. */
    @Test
    fun `a node uses a stable subset of the servers`() {
        fun used(leaving: ServerId?): Set<ServerId> {
            val fixture = DispatchFixture((1..30).map { engine(it, maxRunningCalls = 2) })
            leaving?.let { fixture.send(ServerLoadReported(it, load(leaving = true))) }
            repeat(30) { fixture.request(modelCall(program("p$it"))) }
            return fixture.started.map { it.server }.toSet()
        }
        val all = used(leaving = null)
        assertEquals(8, all.size)
        val gone = all.first()
        assertEquals(all - gone, used(gone).intersect(all))
        assertEquals(8, used(gone).size)
    }

    /** Guards against baseline policies that place calls by another rule than their own. */
    @Test
    fun `each baseline policy places calls by its rule`() {
        fun servers(policy: String): List<ServerId?> {
            val fixture = DispatchFixture((1..3).map { engine(it) }, DispatchSettings(policy = policy))
            val first = fixture.request(modelCall(program("p"), 0))
            val firstServer = fixture.serverOf(first)
            fixture.complete(first)
            fixture.request(modelCall(program("q")))
            return listOf(firstServer, fixture.serverOf(fixture.request(modelCall(program("p"), 1))))
        }
        val sticky = servers("stickyFifo")
        assertEquals(sticky[0], sticky[1])
        val roundRobin = servers("roundRobinFifo")
        assertNotEquals(roundRobin[0], roundRobin[1])
        val fixture = DispatchFixture((1..3).map { engine(it) }, DispatchSettings(policy = "leastLoadFifo"))
        repeat(3) { fixture.request(modelCall(program("p$it"))) }
        assertEquals(
            3,
            fixture.running.values
                .map { it.server }
                .toSet()
                .size,
        )
    }

    /** Guards against a reference policy that ignores its hints. */
    @Test
    fun `the clairvoyant reference uses hints`() {
        val fixture = DispatchFixture(two, DispatchSettings(policy = "clairvoyant"))
        val call = modelCall(program("p"), promptTokens = 20_000)
        fixture.state = fixture.state.withHint(call.call, CallHint(10, 1_000, mapOf(server(2) to 19_000)))
        assertEquals(server(2), fixture.serverOf(fixture.request(call)))
    }
}
