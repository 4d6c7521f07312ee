package lavendertrail.journal

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import lavendertrail.history.HistoryRecord
import java.nio.ByteBuffer

@OptIn(ExperimentalSerializationApi::class)
internal val journalCbor = Cbor { ignoreUnknownKeys = true }

private const val PREFIX_BYTES = 16

/** Index and epoch as 8 bytes each, then the record as CBOR: a scan needs no decoding of records. */
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

/** Null where the payload holds no entry, although its checksum is right. */
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
