package lavendertrail.api

import kotlinx.serialization.json.Json
import lavendertrail.bill.withoutContent
import lavendertrail.history.HistoryRecord
import lavendertrail.journal.JournalRead
import lavendertrail.journal.JournalStore
import lavendertrail.model.PartitionId
import java.io.ByteArrayInputStream
import java.io.InputStream
import java.io.SequenceInputStream
import java.util.Enumeration

/** Streams the journal copies of a node as JSON lines, one page at a time, so that memory use does not grow with the export. */
internal class BillStream(
    store: JournalStore,
) : InputStream() {
    private val lines: InputStream = SequenceInputStream(Pages(store))

    override fun read(): Int = lines.read()

    override fun read(
        buffer: ByteArray,
        start: Int,
        length: Int,
    ): Int = lines.read(buffer, start, length)

    private class Pages(
        private val store: JournalStore,
    ) : Enumeration<InputStream> {
        private val copies = store.copies().iterator()
        private var partition: PartitionId? = null
        private var nextIndex = 0L
        private var endIndex = 0L

        override fun hasMoreElements(): Boolean {
            while (nextIndex >= endIndex) {
                if (!copies.hasNext()) return false
                val copy = copies.next()
                partition = copy.partition
                nextIndex = copy.firstIndex
                endIndex = copy.nextIndex
            }
            return true
        }

        /** If a copy can't be read, an error line is written and the export continues with the next copy. */
        override fun nextElement(): InputStream {
            val current = checkNotNull(partition)
            val page = store.read(JournalRead(current, nextIndex, PAGE_BYTES))
            val last = page.entries.lastOrNull()
            nextIndex = if (last == null) endIndex else last.index + 1
            val text = page.entries.joinToString("") { recordLine(it.record) }
            val error = page.error ?: if (last == null) "no entries" else null
            return ByteArrayInputStream((if (error == null) text else text + errorLine(current, error)).toByteArray())
        }

        private fun recordLine(record: HistoryRecord): String =
            billJson.encodeToString(HistoryRecord.serializer(), record.withoutContent()) + "\n"

        private fun errorLine(
            partition: PartitionId,
            error: String,
        ): String = billJson.encodeToString(mapOf("unreadablePartition" to "$partition", "error" to error)) + "\n"
    }

    private companion object {
        const val PAGE_BYTES = 256 * 1024
        val billJson = Json { encodeDefaults = true }
    }
}
