package lavendertrail.serving

import lavendertrail.model.FailureDomain
import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against callers that change their server when others come or go, and against shares that don't follow the servers' sizes. */
class ServerSharesTest {
    @Test
    fun `shares follow sizes, and a server that comes or goes moves only its own share`() {
        for (count in listOf(34, 71, 600)) {
            for (sizes in listOf(listOf(8), listOf(4, 8, 16))) checkSharesAndMoves(count, sizes)
        }
    }

    private fun checkSharesAndMoves(
        count: Int,
        sizes: List<Int>,
    ) {
        val servers = servers(count, sizes)
        val changed = servers + servers(count + 1, listOf(SMALL_SLOTS)).last()
        val random = Random(SEED)
        val subjects = LongArray(count * SUBJECTS_PER_SERVER) { random.nextLong() }
        val held = subjects.asList().groupingBy { homeOf(it, servers) }.eachCount()
        val totalSlots = servers.sumOf { it.slots }
        val shareError = servers.maxOf { abs(held.getValue(it).toDouble() / subjects.size * totalSlots / it.slots - 1) }
        println("$count servers of $sizes slots: error of a share at most $shareError")
        assertTrue(shareError < 0.1, "error of a share: $shareError")

        val moved = subjects.take(MOVING_SUBJECTS).filter { homeOf(it, servers) !== homeOf(it, changed) }
        assertTrue(moved.all { homeOf(it, changed) === changed.last() }, "a subject moved between servers that both stay")
        val leastMoves = minOf(subjects.size, MOVING_SUBJECTS) * SMALL_SLOTS / (totalSlots + SMALL_SLOTS).toDouble()
        assertTrue(moved.size <= 1.25 * leastMoves, "${moved.size} moves, the least are $leastMoves")
    }

    @Test
    fun `while loads change, fewer sessions move than with the rule by start alone`() = listOf(34, 71, 600).forEach(::checkMovesUnderLoad)

    private fun checkMovesUnderLoad(count: Int) {
        val before = servers(count, listOf(4, 8, 16))
        val after = before.dropLast(1) + servers(count + 1, listOf(8)).last()
        val totalSlots = before.sumOf { it.slots }.toDouble()
        val sessions = MOVING_SESSIONS
        val leastMoves = sessions * (before.last().slots + after.last().slots) / (totalSlots + after.last().slots)
        val moves =
            listOf(HOMES, ServingSettings()).map { settings ->
                val random = Random(SEED)
                (1..sessions).count { session ->
                    placed(session, before.map { it.withRandomLoad(random) }, settings) !=
                        placed(session, after.map { it.withRandomLoad(random) }, settings)
                }
            }
        println("moves of $sessions sessions at $count servers: ${moves[0]}, by start alone ${moves[1]}, at least $leastMoves")
        assertTrue(moves[0] <= 1.25 * leastMoves, "${moves[0]} moves, the least are $leastMoves")
        assertTrue(moves[1] > 2 * moves[0], "by start alone ${moves[1]}, with homes ${moves[0]}")
    }

    @Test
    fun `hosts that list the servers in another order compute the same order for a subject`() {
        val servers = servers(71, listOf(2, 6, 12))
        for (subject in 1L..1_000L) {
            val order = nearestServers(subject, servers, 5)
            assertEquals(order, nearestServers(subject, servers.shuffled(Random(subject)), 5))
            assertEquals(order.drop(1), nearestServers(subject, servers - order.first(), 4))
        }
    }

    private fun placed(
        session: Int,
        servers: List<ServerState>,
        settings: ServingSettings,
    ) = (choosePlacement(placementInput("s$session", servers, settings)) as Placement.Send).server.id

    private fun ServerState.withRandomLoad(random: Random) = copy(inFlight = random.nextInt(slots / 4 + 1))

    private companion object {
        const val SEED = 20_261_206
        const val SMALL_SLOTS = 6
        const val SUBJECTS_PER_SERVER = 4_000
        const val MOVING_SUBJECTS = 200_000
        const val MOVING_SESSIONS = 20_000
        val HOMES = ServingSettings(homePreferenceMillis = 10.0)
    }
}

/** Test fixture: idle servers `server-1` and on, with the sizes in turn. */
internal fun servers(
    count: Int,
    slots: List<Int>,
): List<ServerState> =
    List(count) {
        val server =
            BackendServer("server-${it + 1}", "tools", "10.0.0.1:80", FailureDomain("a"), slots[it % slots.size], isDraining = false)
        ServerState(server, CachedParts(limit = 64))
    }

internal fun placementInput(
    session: String,
    servers: List<ServerState>,
    settings: ServingSettings,
) = PlacementInput(
    candidates = servers,
    request = CallerRequest("attempt-of-$session", "POST", "desk.example", "/", sessionId = session),
    isEngine = false,
    selfDomain = "a",
    recentServerId = null,
    meanServiceDurationMillis = 150.0,
    nowMillis = 10_000,
    settings = settings,
)
