package lavendertrail.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against crashes, one after the other, that count as fewer since they ended in the same millisecond. */
class CrashOrderTest {
    /** The crashes that count of attempts with [ids], each at another server, that began and ended at [times]. */
    private fun crashes(
        ids: List<LossId>,
        times: List<Pair<Long, Long>>,
    ): Int {
        var record = CrashRecord(changedAtMillis = 0)
        ids.zip(times).forEach { (id, time) ->
            val loss = LostAttempt(startedAtMillis = time.first, endedAtMillis = time.second, senderId = "s")
            record = record.withLoss(id, loss, nowMillis = time.second)
        }
        return record.lossesAgainst("s").size
    }

    private fun randomIds(seed: Int): List<LossId> {
        val random = Random(seed)
        return List(3) { LossId("attempt-${random.nextLong()}", "server-${random.nextInt()}") }
    }

    @Test
    fun `crashes one after the other all count, however fast and whatever their names`() {
        for (seed in 1..50) {
            for (times in SEQUENCES) assertEquals(3, crashes(randomIds(seed), times), "seed $seed, $times")
        }
    }

    /** In this run two of three crashes counted, and the request was sent a fourth time. */
    @Test
    fun `crashes of a run in which the first two ended in the same millisecond all count`() {
        val ids = listOf(LossId("p0", "s1"), LossId("p1", "s0"), LossId("p2", "s3"))
        for (times in SEQUENCES) assertEquals(3, crashes(ids, times), "$times")
    }

    @Test
    fun `attempts that were lost together count as one`() {
        for (seed in 1..50) assertEquals(1, crashes(randomIds(seed), listOf(5L to 9L, 6L to 9L, 7L to 9L)), "seed $seed")
    }

    private companion object {
        /** When attempts began and ended, in milliseconds. */
        val SEQUENCES =
            listOf(
                listOf(7L to 8L, 8L to 8L, 8L to 9L),
                listOf(7L to 8L, 8L to 8L, 9L to 9L),
                listOf(7L to 8L, 8L to 9L, 9L to 9L),
                listOf(7L to 7L, 7L to 8L, 8L to 8L),
                listOf(7L to 7L, 7L to 7L, 7L to 8L),
            )
    }
}
