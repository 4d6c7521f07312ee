package lavendertrail.gateway

import lavendertrail.gateway.ResumeFixture.Companion.EVENTS
import lavendertrail.gateway.ResumeFixture.Companion.linesOf
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against a turn that is kept without what its caller had got of it before its stream broke off. */
class ResumedTurnTest {
    private fun withHosts(
        serverCount: Int = 1,
        maxAttempts: Int = 1,
        test: ResumeFixture.(List<ResumeFixture.EntryHost>) -> Unit,
    ) = ResumeFixture(ResumeFixture.statefulConfig(maxAttempts), serverCount).use { fixture ->
        fixture.test(List(2) { fixture.entryHost() })
    }

    private fun ResumeFixture.assertNextTurn(
        entryHost: ResumeFixture.EntryHost,
        previous: String,
        expected: String,
        program: String = "p",
    ) {
        val answer = entryHost.call(Turn("next-$previous", program, "and then\n", previous))
        assertEquals(200, answer.status, previous)
        assertEquals(expected + "and then\n", bodies["next-$previous"], previous)
    }

    @Test
    fun `a turn that breaks once, twice, or after its last event is kept with all its parts`() =
        withHosts { hosts ->
            // The last event of each attempt; the last attempt goes on to the end.
            val cases = listOf(listOf(3), listOf(2, 4), listOf(1, 2, 3, 4, 5), listOf(EVENTS), listOf(3, EVENTS), listOf(EVENTS, EVENTS))
            cases.forEachIndexed { case, breaks ->
                val first = "c$case-0"
                var after: Int? = null
                var expected = "question\n"
                breaks.forEachIndexed { number, last ->
                    breakAfter["c$case-$number"] = last
                    val turn = Turn("c$case-$number", "p$case", resumes = first.takeIf { number > 0 }, after = after)
                    val answer = hosts[(case + number) % 2].call(turn)
                    assertEquals((after ?: 0) + 1..last, answer.eventIds.toRange(after ?: 0), "case $case, attempt $number")
                    assertEquals(false, answer.isWhole)
                    expected += linesOf(turn.attempt, (after ?: 0) + 1..last)
                    after = last
                }
                val rest = Turn("c$case-rest", "p$case", resumes = first, after = after)
                assertTrue(hosts[case % 2].call(rest).isWhole, "case $case")
                expected += linesOf(rest.attempt, after!! + 1..EVENTS)
                for (host in hosts) assertNextTurn(host, rest.attempt, expected, "p$case")
            }
        }

    private fun List<Int>.toRange(after: Int) = (firstOrNull() ?: (after + 1))..(lastOrNull() ?: after)

    @Test
    fun `programs whose turns break at random events are continued with all that was said`() =
        withHosts { hosts ->
            val random = Random(57)
            var refused = 0
            repeat(PROGRAMS) { program ->
                var history = ""
                var previous: String? = null
                for (number in 1..random.nextInt(2, 4)) {
                    val turn = Turn("p$program-t$number", "p$program", "question $number\n", previous)
                    val (attempt, said) = playTurn(hosts, random, turn) ?: break.also { refused++ }
                    history += turn.input + said
                    assertNextTurn(hosts.random(random), attempt, history, turn.program)
                    previous = attempt
                }
            }
            assertTrue(refused < PROGRAMS / 2, "$refused turns refused")
        }

    /**
     * Plays a turn that its caller resumes whenever it breaks off. Returns the attempt that ended whole and all that was said, or null
     * if a resume was refused, as it may be where an earlier one had gone on from fewer events than were sent.
     */
    private fun ResumeFixture.playTurn(
        hosts: List<ResumeFixture.EntryHost>,
        random: Random,
        turn: Turn,
    ): Pair<String, String>? {
        var first: String? = null
        var said = ""
        var after = 0
        val breaks = random.nextInt(0, 4)
        for (number in 0..breaks) {
            val attempt = "${turn.attempt}-$number"
            val last = if (number < breaks) random.nextInt(after, EVENTS + 1) else EVENTS
            if (number < breaks) breakAfter[attempt] = last
            val resume = turn.copy(attempt = attempt, resumes = first, after = after.takeIf { first != null })
            val answer = hosts.random(random).call(resume)
            if (answer.status == 503) return null
            if (answer.isWhole) return attempt to said + linesOf(attempt, after + 1..EVENTS)
            assertEquals((after + 1..last).toList(), answer.eventIds, resume.toString())
            if (last == after) continue
            first = first ?: attempt
            val read = random.nextInt(after + 1, last + 1)
            said += linesOf(attempt, after + 1..read)
            after = read
        }
        error("the last attempt of ${turn.attempt} was not whole")
    }

    @Test
    fun `a turn counts up to the event that its caller has read`() =
        withHosts { hosts ->
            breakAfter["a"] = 4
            hosts[0].call(Turn("a"))
            hosts[1].call(Turn("b", resumes = "a", after = 2))
            assertNextTurn(hosts[0], "b", "question\n" + linesOf("a", 1..2) + linesOf("b", 3..EVENTS))
        }

    @Test
    fun `a caller that closes its connection while the server goes on resumes its turn elsewhere`() =
        withHosts { hosts ->
            repeat(5) { number ->
                slowAttempts += "a$number"
                hosts[number % 2].call(Turn("a$number"), readEvents = 2)
                val answer = hosts[(number + 1) % 2].call(Turn("b$number", resumes = "a$number", after = 2))
                assertEquals(200, answer.status, "turn $number")
                assertNextTurn(hosts[0], "b$number", "question\n" + linesOf("a$number", 1..2) + linesOf("b$number", 3..EVENTS))
            }
        }

    @Test
    fun `a resumed turn continues its own earlier turns`() =
        withHosts { hosts ->
            assertTrue(hosts[0].call(Turn("a")).isWhole)
            breakAfter["b"] = 3
            hosts[1].call(Turn("b", input = "more\n", previous = "a"))
            assertTrue(hosts[0].call(Turn("c", input = "more\n", previous = "a", resumes = "b", after = 3)).isWhole)
            val expected = "question\n" + linesOf("a", 1..EVENTS) + "more\n" + linesOf("b", 1..3) + linesOf("c", 4..EVENTS)
            assertNextTurn(hosts[1], "c", expected)
        }

    @Test
    fun `a turn whose end was lost on the way is resumed from what was kept`() =
        withHosts { hosts ->
            assertTrue(hosts[0].call(Turn("a")).isWhole)
            assertTrue(hosts[1].call(Turn("b", resumes = "a", after = 4)).isWhole)
            assertTrue(hosts[0].call(Turn("c", resumes = "a", after = 6)).status == 503, "two attempts have the sixth event")
            assertNextTurn(hosts[0], "b", "question\n" + linesOf("a", 1..4) + linesOf("b", 5..EVENTS))
            assertTrue(hosts[0].call(Turn("d")).isWhole)
            assertEquals(200, hosts[1].call(Turn("e", resumes = "d", after = EVENTS)).status)
            assertNextTurn(hosts[0], "e", "question\n" + linesOf("d", 1..EVENTS))
        }

    @Test
    fun `an answer without any event is a turn that can be continued`() =
        withHosts { hosts ->
            val head = "HTTP/1.1 200 OK\r\nX-Attempt: ID\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\n"
            for ((attempt, end) in listOf("a" to "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "b" to "Content-Length: 0\r\n\r\n")) {
                scripted[attempt] = head.replace("ID", attempt) + end
                assertEquals(200, hosts[0].call(Turn(attempt)).status)
                assertNextTurn(hosts[1], attempt, "question\n")
            }
        }

    @Test
    fun `a resume that doesn't fit what is known is refused before it runs`() =
        withHosts { hosts ->
            breakAfter["a"] = 3
            hosts[0].call(Turn("a"))
            val resume = Turn("b", resumes = "a", after = 3)
            val misfits =
                listOf(
                    resume.copy(after = 4),
                    resume.copy(resumes = null),
                    resume.copy(resumes = "never"),
                    resume.copy(input = "another question\n"),
                    resume.copy(program = "q"),
                    resume.copy(previous = "a"),
                )
            misfits.forEachIndexed { number, turn ->
                val attempt = "misfit$number"
                assertEquals(503, hosts[number % 2].call(turn.copy(attempt = attempt)).status, turn.toString())
                assertNull(bodies[attempt], turn.toString())
            }
            assertTrue(hosts[1].call(resume).isWhole)
            assertNextTurn(hosts[0], "b", "question\n" + linesOf("a", 1..3) + linesOf("b", 4..EVENTS))
        }

    @Test
    fun `a resume is refused where two earlier ones went on differently`() =
        withHosts { hosts ->
            breakAfter["a"] = 2
            hosts[0].call(Turn("a"))
            for (branch in listOf("b", "c")) {
                breakAfter[branch] = 4
                assertEquals(listOf(3, 4), hosts[0].call(Turn(branch, resumes = "a", after = 2)).eventIds)
            }
            assertEquals(503, hosts[1].call(Turn("d", resumes = "a", after = 4)).status)
            assertNull(bodies["d"])
            assertTrue(hosts[1].call(Turn("e", resumes = "a", after = 2)).isWhole)
            assertNextTurn(hosts[0], "e", "question\n" + linesOf("a", 1..2) + linesOf("e", 3..EVENTS))
        }

    @Test
    fun `a stream that begins anew in place of its rest is not passed on`() =
        withHosts { hosts ->
            breakAfter["a"] = 3
            hosts[0].call(Turn("a"))
            val event = ResumeFixture.chunk("id: 1\ndata: anew\n\n")
            scripted["b"] = ResumeFixture.streamHead("b") + event + ResumeFixture.END_OF_CHUNKS
            val answer = hosts[1].call(Turn("b", resumes = "a", after = 3))
            assertEquals(502, answer.status)
            assertEquals(emptyList(), answer.eventIds)
        }

    @Test
    fun `a turn goes on within one answer before and after its caller resumes it`() =
        withHosts(serverCount = 3, maxAttempts = 3) { hosts ->
            // The entry host sends each attempt once more by itself, which goes on to the end unless that breaks too.
            breakAfter["a"] = 2
            assertTrue(hosts[0].call(Turn("a")).isWhole)
            assertNextTurn(hosts[1], "a", "question\n" + linesOf("a", 1..EVENTS))
            slowAttempts += "b"
            breakAfter["b"] = 1
            hosts[0].call(Turn("b"), readEvents = 3)
            breakAfter["c"] = 5
            assertTrue(hosts[1].call(Turn("c", resumes = "b", after = 3)).isWhole)
            assertNextTurn(hosts[0], "c", "question\n" + linesOf("b", 1..3) + linesOf("c", 4..EVENTS))
        }

    @Test
    fun `events that begin with the version of the weights, and long ones, are kept`() =
        withHosts { hosts ->
            firstLines = "weight-versions: 3\n"
            eventText = { attempt, event -> "$attempt says $event".padEnd(LONG_EVENT_BYTES, '.') }
            breakAfter["a"] = 3
            hosts[0].call(Turn("a"))
            assertTrue(hosts[1].call(Turn("b", resumes = "a", after = 3)).isWhole)
            val lines = (1..EVENTS).joinToString("") { eventText(if (it <= 3) "a" else "b", it) + "\n" }
            eventText = ResumeFixture::dataOf
            assertNextTurn(hosts[0], "b", "question\n$lines")
        }

    private companion object {
        const val PROGRAMS = 30
        const val LONG_EVENT_BYTES = 500_000
    }
}
