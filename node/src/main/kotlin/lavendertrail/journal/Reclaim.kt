package lavendertrail.journal

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.ProgramId

/**
 * Computes the index below which no entry is needed anymore, because every program with an entry there ended before
 * [endedBeforeMillis]. All entries of a journal must be added in order.
 */
internal class ReclaimBound(
    private val endedBeforeMillis: Long,
) {
    private val needed = mutableMapOf<ProgramId, Long>()
    private var nextIndex = 0L

    val beforeIndex: Long get() = needed.values.minOrNull() ?: nextIndex

    fun add(entry: JournalEntry) {
        val record = entry.record
        nextIndex = entry.index + 1
        // A program without its first record was partly reclaimed before; its remaining records aren't needed.
        if (record.sequence == 0) needed[record.program] = entry.index
        if (record.payload is HistoryPayload.Ended && record.atMillis < endedBeforeMillis) needed -= record.program
    }
}

/** Filters out programs that were partly reclaimed. They ended before the retention period. */
internal fun List<HistoryRecord>.withoutReclaimed(): List<HistoryRecord> {
    val begun = mutableSetOf<ProgramId>()
    return filter { record ->
        if (record.sequence == 0) begun += record.program
        record.program in begun && record.program.root in begun
    }
}
