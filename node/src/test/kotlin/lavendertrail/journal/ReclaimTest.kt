package lavendertrail.journal

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.nextRecord
import lavendertrail.model.ProgramId
import lavendertrail.model.Usage
import kotlin.test.Test
import kotlin.test.assertEquals

internal class ReclaimTest {
    private val last = mutableMapOf<ProgramId, HistoryRecord>()

    private fun next(
        program: String,
        atMillis: Long,
        ends: Boolean = false,
    ): HistoryRecord {
        val id = ProgramId("batinah-02a-$program")
        val payload = if (ends) HistoryPayload.Ended("done", Usage()) else HistoryPayload.ChildOpened(id.child(1))
        return nextRecord(last[id], id, 1, atMillis, payload).also { last[id] = it }
    }

    private fun bound(
        endedBeforeMillis: Long,
        records: List<HistoryRecord>,
    ) = ReclaimBound(endedBeforeMillis)
        .apply {
            records.forEachIndexed {
                index,
                record,
                ->
                add(JournalEntry(index + 5L, 1, record))
            }
        }.beforeIndex

    private val records =
        listOf(
            next("a", 10),
            next("b", 11),
            next("a", 12, ends = true),
            next("c", 13),
            next("b", 20, ends = true),
            next("c", 21),
            next("c", 30, ends = true),
        )

    /** Guards against reclaiming records of programs that are running or ended recently. */
    @Test
    fun `the bound is the first entry of a program that is still needed`() {
        val bounds = listOf(12L, 13L, 20L, 21L, 31L).associateWith { bound(it, records) }
        assertEquals(mapOf(12L to 5L, 13L to 6L, 20L to 6L, 21L to 8L, 31L to 12L), bounds)
    }

    /** Guards against a journal that is never reclaimed because of programs whose first records were reclaimed. */
    @Test
    fun `the remaining records of a reclaimed program do not block reclaiming and are not replayed`() {
        assertEquals(6L, bound(13, records.drop(2)))
        assertEquals(listOf(records[3], records[5], records[6]), records.drop(2).withoutReclaimed())
    }

    /** Guards against sub-agents that are replayed without their parent. */
    @Test
    fun `a sub-agent is left out with its root`() {
        assertEquals(emptyList(), listOf(next("a", 40), next("a.1", 41)).withoutReclaimed())
    }
}
