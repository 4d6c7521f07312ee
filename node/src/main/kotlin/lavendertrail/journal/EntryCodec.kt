package lavendertrail.journal

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import lavendertrail.history.HistoryRecord
import java.nio.ByteBuffer

@OptIn(ExperimentalSerializationApi::class)
internal val journalCbor = Cbor { ignoreUnknownKeys = true }

private const val PREFIX_BYTES = 16

/** Encodes index and epoch as 8 bytes each, followed by the record as CBOR, so that a scan needs to decode no records. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeEntry(entry: JournalEntry): ByteArray {
    val record = journalCbor.encodeToByteArray(HistoryRecord.serializer(), entry.record)
    return ByteBuffer
        .allocate(PREFIX_BYTES + record.size)
        .putLong(entry.index)
        .putLong(entry.epoch)
        .put(record)
        .array()
}

internal fun indexOf(payload: ByteArray): Long = if (payload.size < PREFIX_BYTES) -1 else ByteBuffer.wrap(payload).getLong()

internal fun epochOf(payload: ByteArray): Long = ByteBuffer.wrap(payload).getLong(Long.SIZE_BYTES)

/** Decodes an entry, or returns null if the payload is not an entry although its checksum is valid. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeEntryOrNull(payload: ByteArray): JournalEntry? =
    try {
        val record = payload.copyOfRange(PREFIX_BYTES, payload.size)
        JournalEntry(indexOf(payload), epochOf(payload), journalCbor.decodeFromByteArray(HistoryRecord.serializer(), record))
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
