package lavendertrail.journal

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.ProgramId

/**
 * Finds the index below which no entry is needed any more: each program with an entry there has ended before
 * [endedBeforeMillis]. Feed it all entries of a journal in order.
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
        // A program whose first record is gone was reclaimed in part before, and what is left of it isn't needed.
        if (record.sequence == 0) needed[record.program] = entry.index
        if (record.payload is HistoryPayload.Ended && record.atMillis < endedBeforeMillis) needed -= record.program
    }
}

/** Leaves out programs that have lost records to reclaiming; they ended before the retention time. */
internal fun List<HistoryRecord>.withoutReclaimed(): List<HistoryRecord> {
    val begun = mutableSetOf<ProgramId>()
    return filter { record ->
        if (record.sequence == 0) begun += record.program
        record.program in begun && record.program.root in begun
    }
}
