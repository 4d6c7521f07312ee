package lavendertrail.serving

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against turns whose whole prompt is prefilled again because the entry host doesn't know which engine ran the previous turn.
 * Simulates sessions whose turns arrive through changing entry hosts.
 */
class TurnAffinityTest {
    @Test
    fun `turns through changing entry hosts go to the engine of the previous turn`() {
        val informed = replay(knowsRecentServer = true)
        val uninformed = replay(knowsRecentServer = false)
        val figures = "prefilled again: with the recent server ${informed.repeatedShare}, without ${uninformed.repeatedShare}"
        assertTrue(informed.repeatedShare < 0.1, figures)
        assertTrue(informed.repeatedShare < uninformed.repeatedShare / 2, figures)
    }

    @Test
    fun `sessions are spread over the engines although each stays on one engine`() {
        val turns = replay(knowsRecentServer = true).turnsByServer
        assertEquals(ENGINES, turns.size)
        assertTrue(turns.values.max() <= 2 * turns.values.min(), turns.toString())
    }

    @Test
    fun `a turn leaves an engine whose queue takes longer than the prefill of its prompt`() {
        val bench = ServingBench()
        repeat(3) { bench.addServer("engine-${it + 2}", "engines") }
        repeat(24) { key ->
            bench.arrive(key.toLong(), bench.turnRequest(previous = null).copy(attemptId = "busy$key", programId = null))
        }
        val full =
            bench.state.parts.servers
                .getValue("engine-1")
        bench.arrive(100, session(0, turn = 2, parts = 3))
        // All engines are equally busy here, so the turn stays; with nine more requests on its engine it leaves.
        bench.apply(TokensReserved(100, ReservationResult.RESERVED, full.server.id))
        assertEquals(full.server.id, bench.singleEffect<SendToServer>().server.id)
        repeat(9) { bench.apply(AnswerStarted(100, ReportedLoad(running = 6, waiting = 9, slots = 6))) }
        bench.arrive(101, session(1, turn = 2, parts = 3))
        bench.apply(TokensReserved(101, ReservationResult.RESERVED, full.server.id))
        assertTrue(bench.singleEffect<SendToServer>().server.id != full.server.id)
    }

    private class Outcome(
        val repeatedShare: Double,
        val turnsByServer: Map<String, Int>,
    )

    /** A turn that ends or is to start at [atMillis]. */
    private class ScheduledTurn(
        val atMillis: Long,
        val number: Int,
        val turn: Int,
        val key: Long? = null,
        val host: ServingBench? = null,
        val server: String? = null,
    )

    /**
     * Starts 25 sessions per second, each with six turns of about 230 ms through randomly drawn entry hosts. This occupies about
     * seven tenths of the engines' slots. Entry hosts know the engines' load from answers only. Measures the share of earlier
     * prompt tokens that is prefilled again.
     */
    private fun replay(knowsRecentServer: Boolean): Outcome {
        val random = Random(SEED)
        val hosts =
            List(ENTRY_HOSTS) {
                ServingBench().also { host ->
                    repeat(ENGINES - 1) { host.addServer("engine-${it + 2}", "engines") }
                }
            }
        val cachedPartIds = mutableMapOf<String, MutableSet<String>>()
        val running = mutableMapOf<String, Int>()
        val recent = mutableMapOf<Int, String>()
        val turnsByServer = mutableMapOf<String, Int>()
        val queue = PriorityQueue<ScheduledTurn>(compareBy { it.atMillis })
        val startMillis = hosts[0].nowMillis
        repeat(SESSIONS) { queue += ScheduledTurn(startMillis + it * START_GAP_MILLIS, it, 1) }
        var repeatedTokens = 0
        var earlierTokens = 0
        var key = 0L
        while (queue.isNotEmpty()) {
            val scheduled = queue.remove()
            hosts.forEach { it.nowMillis = scheduled.atMillis }
            if (scheduled.host != null) {
                val server = checkNotNull(scheduled.server)
                running.merge(server, -1, Int::plus)
                val load = ReportedLoad(running.getValue(server), 0, SLOTS)
                scheduled.host.apply(AttemptEnded(checkNotNull(scheduled.key), AttemptOutcome.ANSWERED, load))
                recent[scheduled.number] = server
                if (scheduled.turn < TURNS) queue += ScheduledTurn(scheduled.atMillis + THINK_MILLIS, scheduled.number, scheduled.turn + 1)
                continue
            }
            val host = hosts[random.nextInt(ENTRY_HOSTS)]
            val request = session(scheduled.number, scheduled.turn, parts = scheduled.turn)
            key++
            host.arrive(key, request)
            host.apply(TokensReserved(key, ReservationResult.RESERVED, recent[scheduled.number].takeIf { knowsRecentServer }))
            val server = host.singleEffect<SendToServer>().server.id
            val parts = cachedPartIds.getOrPut(server) { mutableSetOf() }
            val earlierParts = request.promptParts.dropLast(1)
            earlierTokens += earlierParts.sumOf { it.tokens }
            repeatedTokens += earlierParts.filter { it.id !in parts }.sumOf { it.tokens }
            parts += request.promptParts.map { it.id }
            turnsByServer.merge(server, 1, Int::plus)
            running.merge(server, 1, Int::plus)
            queue += ScheduledTurn(scheduled.atMillis + 180 + random.nextLong(100), scheduled.number, scheduled.turn, key, host, server)
        }
        return Outcome(repeatedTokens.toDouble() / earlierTokens, turnsByServer)
    }

    private fun session(
        number: Int,
        turn: Int,
        parts: Int,
    ) = CallerRequest(
        attemptId = "s$number-$turn",
        method = "POST",
        host = "desk.example",
        target = "/chat/x",
        deadlineMillis = 4_000,
        maxOutputTokens = 136,
        programId = "p$number",
        sessionId = "s$number",
        tokenBudget = 10_000,
        promptParts = (1..parts).map { PromptPart("s$number-part$it", 900) },
    )

    private companion object {
        const val SEED = 20_261_204
        const val ENTRY_HOSTS = 9
        const val ENGINES = 8
        const val SLOTS = 6
        const val SESSIONS = 300
        const val TURNS = 6
        const val START_GAP_MILLIS = 40L
        const val THINK_MILLIS = 80L
    }
}
