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

/** Reads the journal copies of a node page by page, so that an export of any length takes little memory. */
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
        private var next = 0L
        private var end = 0L

        override fun hasMoreElements(): Boolean {
            while (next >= end) {
                if (!copies.hasNext()) return false
                val copy = copies.next()
                partition = copy.partition
                next = copy.firstIndex
                end = copy.nextIndex
            }
            return true
        }

        /** A copy that can't be read ends with a line that says so, and the export goes on with the next one. */
        override fun nextElement(): InputStream {
            val current = checkNotNull(partition)
            val page = store.read(JournalRead(current, next, PAGE_BYTES))
            val last = page.entries.lastOrNull()
            next = if (last == null) end else last.index + 1
            val text = page.entries.joinToString("") { line(it.record) }
            val error = page.error ?: if (last == null) "no entries" else null
            return ByteArrayInputStream((if (error == null) text else text + fault(current, error)).toByteArray())
        }

        private fun line(record: HistoryRecord): String =
            billJson.encodeToString(HistoryRecord.serializer(), record.withoutContent()) + "\n"

        private fun fault(
            partition: PartitionId,
            error: String,
        ): String = billJson.encodeToString(mapOf("unreadablePartition" to "$partition", "error" to error)) + "\n"
    }

    private companion object {
        const val PAGE_BYTES = 256 * 1024
        val billJson = Json { encodeDefaults = true }
    }
}
