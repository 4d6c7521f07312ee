package lavendertrail.turns

import lavendertrail.serving.HistoryResult
import lavendertrail.serving.ReservationResult
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against records with one copy left after a turn host has been replaced: the next lost disk then loses them for good
 * (review/1).
 */
class ReplacedTurnHostTest {
    /** Three hosts and `a2`, the successor of `a1`, which has joined before anything is stored. */
    private fun fixture() =
        TurnHostsFixture().apply {
            listOf("a1", "b1", "c1").forEach { start(it, isFirstStart = true) }
            awaitHosts("a1", "b1", "c1")
            start("a2")
            awaitHosts("a1", "a2", "b1", "c1")
        }

    private fun TurnHostsFixture.loseDisk(name: String) {
        killAndDiscardDisk(name)
        start(name)
        TurnHostsFixture.awaitCondition("certainty after $name") { load("t99").first == HistoryResult.NO_SUCH_TURN }
    }

    private fun TurnHostsFixture.assertAllFound() {
        (1..TURNS).forEach { assertEquals(HistoryResult.FOUND, load("t$it").first, "t$it") }
    }

    private fun TurnHostsFixture.copies() = (1..TURNS).map { copiesOf("t$it") }

    @Test
    fun `turns survive a lost disk after a host with a successor was stopped for good`() {
        fixture().use { fixture ->
            (1..TURNS).forEach { assertTrue(fixture.save("t$it")) }
            fixture.stopAndDiscardDisk("a1")
            // The handover is complete when the process ends, before the list changes.
            assertEquals(emptyList(), fixture.copies().filter { it < 2 })
            fixture.awaitHosts("a2", "b1", "c1")
            fixture.loseDisk("b1")
            fixture.assertAllFound()
        }
    }

    @Test
    fun `turns survive a lost disk after a host with a successor was killed for good`() {
        fixture().use { fixture ->
            (1..TURNS).forEach { assertTrue(fixture.save("t$it")) }
            fixture.killAndDiscardDisk("a1")
            fixture.awaitHosts("a2", "b1", "c1")
            TurnHostsFixture.awaitCondition("two copies of each turn") { fixture.copies().all { it >= 2 } }
            fixture.loseDisk("b1")
            fixture.assertAllFound()
        }
    }

    @Test
    fun `a host that is lost for good is removed although another one has lost its disk`() {
        fixture().use { fixture ->
            fixture.killAndDiscardDisk("a1")
            fixture.killAndDiscardDisk("b1")
            fixture.start("b1")
            fixture.awaitHosts("a2", "b1", "c1")
            TurnHostsFixture.awaitCondition("room for a reservation") { fixture.reserve("r1", 10, 100) == ReservationResult.RESERVED }
        }
    }

    @Test
    fun `a program's use survives hosts that are replaced one after another`() {
        fixture().use { fixture ->
            assertEquals(ReservationResult.RESERVED, fixture.reserve("r1", 60, 100))
            for ((lost, successor) in listOf("a1" to "d1", "b1" to "e1", "c1" to "f1")) {
                fixture.killAndDiscardDisk(lost)
                val names = fixture.listedHosts().map { it.name } - lost
                fixture.awaitHosts(*names.toTypedArray())
                TurnHostsFixture.awaitCondition("a majority that has the use") { fixture.copiesOf(USE) > names.size / 2 }
                fixture.start(successor)
                fixture.awaitHosts(*(names + successor).toTypedArray())
            }
            assertEquals(ReservationResult.SPENT, fixture.reserve("r2", 60, 100))
        }
    }

    private companion object {
        const val TURNS = 40
        val USE = RecordKey(programId = "p", attemptId = "r1")
    }
}
