package lavendertrail.journal

import lavendertrail.model.PartitionId
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap

/** Creates a store that keeps its copies in memory, for tests and for a development cluster in one process. */
public fun memoryJournalStore(): JournalStore = MemoryJournalStore()

private class MemoryJournalStore : JournalStore {
    private val copies = ConcurrentHashMap<PartitionId, JournalCopy>()
    override val id = UUID.randomUUID().toString()

    override fun append(request: JournalAppend): JournalAnswer {
        if (request.create && request.partition !in copies.keys) request.storeMismatchOrNull(id)?.let { return it }
        val copy = if (request.create) copies.computeIfAbsent(request.partition) { newCopy(request) } else copies[request.partition]
        return copy?.append(request) ?: JournalAnswer.Unknown
    }

    override fun seal(request: JournalSeal) = copies[request.partition]?.seal(request) ?: JournalAnswer.Unknown

    override fun read(request: JournalRead) = copies[request.partition]?.read(request)?.copy(storeId = id) ?: unknownCopyPage(id)

    override fun reclaim(request: JournalReclaim) = copies[request.partition]?.reclaim(request) ?: JournalAnswer.Unknown

    override fun copies() = copies.map { (partition, copy) -> copy.status(partition) }.sortedBy { it.partition }

    override fun close() = Unit

    private fun newCopy(request: JournalAppend) = JournalCopy(MemoryCopyStorage(request.initialState()))
}

/** Initial state of a copy that this append creates. */
internal fun JournalAppend.initialState() = CopyState(epoch, attempt, complete = false, startIndex = truncateTo ?: 0)

/** Returns the failure of an append that may create a copy only in a store other than [storeId], otherwise null. */
internal fun JournalAppend.storeMismatchOrNull(storeId: String): JournalAnswer? =
    if (this.storeId == null ||
        this.storeId == storeId
    ) {
        null
    } else {
        JournalAnswer.Failed("copy must be created in store ${this.storeId}, this is store $storeId")
    }

internal fun unknownCopyPage(storeId: String) = JournalPage(emptyList(), nextIndex = 0, error = UNKNOWN_COPY, storeId = storeId)

internal const val UNKNOWN_COPY = "this node holds no copy of the partition"

private class MemoryCopyStorage(
    override var state: CopyState,
) : CopyStorage {
    private val entries = ArrayDeque<JournalEntry>()
    override var firstIndex = state.startIndex
    override val nextIndex get() = firstIndex + entries.size
    override val lastEpoch get() = entries.lastOrNull()?.epoch ?: 0
    override val damage: CopyDamage? = null

    override fun read(
        fromIndex: Long,
        maxBytes: Int,
    ): List<JournalEntry> {
        var bytes = 0
        return entries.drop((fromIndex - firstIndex).toInt()).takeWhile { entry ->
            (bytes == 0 || bytes < maxBytes).also { bytes += encodeEntry(entry).size }
        }
    }

    override fun write(entries: List<JournalEntry>) {
        this.entries += entries
    }

    override fun truncate(to: Long) = repeat((nextIndex - to).toInt()) { entries.removeLast() }

    override fun reset(at: Long) {
        entries.clear()
        firstIndex = at
    }

    override fun saveState(state: CopyState) {
        this.state = state
    }

    override fun flush() = Unit

    override fun reclaim(beforeIndex: Long) {
        // Keeps the last entry, because recovery compares copies by the epoch of their last entry.
        while (firstIndex < beforeIndex && entries.size > 1) {
            entries.removeFirst()
            firstIndex++
        }
    }
}
