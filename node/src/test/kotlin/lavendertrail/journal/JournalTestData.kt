package lavendertrail.journal

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.history.nextRecord
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.Usage

internal val partition = PartitionId(0x2a)

/** Creates the first record of a program named after [label]. */
internal fun record(
    label: String,
    text: String = "text of $label",
): HistoryRecord = nextRecord(null, ProgramId("batinah-02a-$label"), 1, 10, HistoryPayload.Ended(label, Usage()), text)

internal fun entry(
    index: Long,
    epoch: Long = 1,
    label: String = "e$epoch$index",
) = JournalEntry(index, epoch, record(label))

internal fun entries(
    range: LongRange,
    epoch: Long = 1,
) = range.map { entry(it, epoch) }

internal fun appendRequest(
    range: LongRange,
    epoch: Long = 1,
    truncateTo: Long? = null,
    create: Boolean = false,
    attempt: Long = 0,
) = JournalAppend(partition, epoch, entries(range, epoch), truncateTo, create, attempt)

/** Creates a complete copy with entries 0 until [length], sealed at epoch 1. */
internal fun JournalStore.fill(length: Long) {
    append(appendRequest(0..<length, create = true))
    seal(JournalSeal(partition, 1, completeAt = length))
}

internal fun JournalStore.readAll(
    fromIndex: Long = 0,
    maxBytes: Int = 1000,
): List<JournalEntry> {
    val all = mutableListOf<JournalEntry>()
    while (true) {
        val page = read(JournalRead(partition, fromIndex + all.size, maxBytes))
        all += page.entries
        if (page.entries.isEmpty()) return all
    }
}

internal fun accepted(
    nextIndex: Long,
    lastEpoch: Long = 1,
    complete: Boolean = true,
) = JournalAnswer.Accepted(nextIndex, lastEpoch, complete)
