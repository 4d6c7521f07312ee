package lavendertrail.gateway

import lavendertrail.gateway.ResumeFixture.Companion.EVENTS
import lavendertrail.gateway.ResumeFixture.Companion.linesOf
import lavendertrail.serving.ClientAccount
import lavendertrail.serving.ClientAccounts
import lavendertrail.serving.StoreHeard
import lavendertrail.turns.TurnHosts
import lavendertrail.turns.TurnHostsFixture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against resumed turns that run with a wrong history while turn hosts are away, or with another account's part. */
class ResumedTurnOutageTest {
    private val names = listOf("a1", "b1", "c1")

    private fun ResumeFixture.assertNextTurn(
        entryHost: ResumeFixture.EntryHost,
        previous: String,
        expected: String,
    ) {
        assertEquals(200, entryHost.call(Turn("next-$previous", input = "and then\n", previous = previous)).status, previous)
        assertEquals(expected + "and then\n", bodies["next-$previous"], previous)
    }

    /** Sends the resume until it isn't refused any more, as a caller that is told to come back does. */
    private fun ResumeFixture.EntryHost.awaitServed(turn: Turn): String {
        var attempt = turn.attempt
        var number = 0
        TurnHostsFixture.awaitCondition("served resume") {
            attempt = "${turn.attempt}-${number++}"
            call(turn.copy(attempt = attempt)).status == 200
        }
        return attempt
    }

    @Test
    fun `a turn that broke off is resumed after all turn hosts have restarted`() =
        ResumeFixture().use { fixture ->
            val host = fixture.entryHost()
            fixture.breakAfter["a"] = 3
            host.call(Turn("a"))
            names.forEach(fixture.turnHosts::kill)
            val refused = host.call(Turn("b", resumes = "a", after = 3))
            assertEquals(503, refused.status)
            assertNull(fixture.bodies["b"])
            names.forEach { fixture.turnHosts.start(it) }
            val attempt = host.awaitServed(Turn("c", resumes = "a", after = 3))
            fixture.assertNextTurn(host, attempt, "question\n" + linesOf("a", 1..3) + linesOf(attempt, 4..EVENTS))
        }

    @Test
    fun `a turn that broke off while no turn host was reachable is refused, not run with half of its history`() =
        ResumeFixture().use { fixture ->
            val host = fixture.entryHost()
            fixture.breakAfter["a"] = 5
            fixture.eventText = { attempt, event ->
                // The request has reached the server, and none of its events the caller.
                if (attempt == "a" && event == 5) names.forEach(fixture.turnHosts::kill)
                ResumeFixture.dataOf(attempt, event)
            }
            assertEquals((1..5).toList(), host.call(Turn("a")).eventIds)
            names.forEach { fixture.turnHosts.start(it) }
            TurnHostsFixture.awaitCondition("reachable turn hosts") { host.call(Turn("probe${System.nanoTime()}")).status == 200 }
            assertEquals(503, host.call(Turn("b", resumes = "a", after = 5)).status)
            assertNull(fixture.bodies["b"])
        }

    @Test
    fun `a host that is away neither hides a part nor lets another one pass for the only one`() =
        ResumeFixture().use { fixture ->
            val host = fixture.entryHost()
            for (lost in names) {
                fixture.breakAfter["a-$lost"] = 3
                host.call(Turn("a-$lost"))
                fixture.turnHosts.kill(lost)
                val attempt = host.awaitServed(Turn("b-$lost", resumes = "a-$lost", after = 3))
                fixture.assertNextTurn(host, attempt, "question\n" + linesOf("a-$lost", 1..3) + linesOf(attempt, 4..EVENTS))
                fixture.turnHosts.start(lost)
            }
        }

    @Test
    fun `an entry host with an old list of turn hosts finds the part`() =
        ResumeFixture().use { fixture ->
            val outOfStep = fixture.entryHost()
            listOf("a2", "b2", "c2").forEach { fixture.turnHosts.start(it) }
            fixture.turnHosts.awaitHosts("a1", "a2", "b1", "b2", "c1", "c2")
            val inStep = fixture.entryHost()
            repeat(6) { number ->
                fixture.breakAfter["a$number"] = 3
                inStep.call(Turn("a$number"))
                assertTrue(outOfStep.call(Turn("b$number", resumes = "a$number", after = 3)).isWhole)
                fixture.assertNextTurn(inStep, "b$number", "question\n" + linesOf("a$number", 1..3) + linesOf("b$number", 4..EVENTS))
            }
        }

    @Test
    fun `a part of one account isn't handed to another one's attempt`() {
        val accounts = ClientAccounts(mapOf("k1" to ClientAccount("alice"), "k2" to ClientAccount("bob")))
        ResumeFixture(ResumeFixture.statefulConfig().copy(accounts = accounts)).use { fixture ->
            val host = fixture.entryHost()
            host.gateway.submit(StoreHeard)
            fixture.breakAfter["a"] = 3
            assertEquals(listOf(1, 2, 3), host.call(Turn("a", key = "k1")).eventIds)
            assertEquals(503, host.call(Turn("b", resumes = "a", after = 3, key = "k2")).status)
            assertNull(fixture.bodies["b"])
            assertTrue(host.call(Turn("c", resumes = "a", after = 3, key = "k1")).isWhole)
        }
    }

    @Test
    fun `without turn hosts a broken stream ends at once`() =
        ResumeFixture(turnHostNames = emptyList()).use { fixture ->
            val host = fixture.entryHost(TurnHosts())
            fixture.breakAfter["a"] = 3
            val startedMillis = nowMillis()
            assertEquals(listOf(1, 2, 3), host.call(Turn("a")).eventIds)
            assertTrue(nowMillis() - startedMillis < STORE_TIMEOUT_MILLIS)
        }

    private companion object {
        const val STORE_TIMEOUT_MILLIS = 1_000L
    }
}
