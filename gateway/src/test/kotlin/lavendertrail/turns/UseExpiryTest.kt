package lavendertrail.turns

import lavendertrail.serving.ReservationResult
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a program that runs for longer than its uses are kept: the first ones expired, and their tokens were free again. */
class UseExpiryTest {
    private val reserved = UseRecord("p", "a1", 50, isSettled = false, expiresAtEpochMillis = 5_000, serverId = "s1")

    @Test
    fun `a use that is about to expire is stored again by the program's next reservation`() {
        TurnHostsFixture().use { fixture ->
            listOf("a1", "b1", "c1").forEach { fixture.start(it, isFirstStart = true) }
            fixture.awaitHosts("a1", "b1", "c1")
            val now = System.currentTimeMillis()
            assertEquals(ReservationResult.RESERVED, fixture.reserve("r1", 60, 100, expiresAtEpochMillis = now + 10_000))
            assertEquals(ReservationResult.RESERVED, fixture.reserve("r2", 10, 100, expiresAtEpochMillis = now + 120_000))
            TurnHostsFixture.awaitCondition("a quorum that keeps the use", timeoutMillis = 5_000) {
                fixture.copiesOf(RecordKey(programId = "p", attemptId = "r1", expiresAtEpochMillis = now + 120_000)) >= 2
            }
            assertEquals(ReservationResult.SPENT, fixture.reserve("r3", 60, 100))
        }
    }

    @Test
    fun `a use that is stored again keeps its tokens and the longer time`() {
        val settled = reserved.copy(tokens = 8, isSettled = true, expiresAtEpochMillis = 6_000)
        assertEquals(settled, mergeUses(reserved, settled))
        assertEquals(settled.copy(expiresAtEpochMillis = 9_000), mergeUses(settled, reserved.copy(expiresAtEpochMillis = 9_000)))
        assertEquals(
            reserved.copy(expiresAtEpochMillis = 9_000),
            mergeUses(reserved, reserved.copy(expiresAtEpochMillis = 9_000, serverId = null)),
        )
    }
}
