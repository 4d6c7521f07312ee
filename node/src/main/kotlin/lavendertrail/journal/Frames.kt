package lavendertrail.journal

import java.io.IOException
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Size of the header: payload length, payload checksum and header checksum. */
internal const val FRAME_HEADER_BYTES = 12

private const val HEADER_FIELDS_BYTES = 8
private const val READ_AHEAD_BYTES = 128 * 1024
private const val MAX_EMPTY_WRITES = 3

/**
 * Encodes [payload] as a frame: length, CRC-32C of the payload, CRC-32C of these two fields, payload. The header has its
 * own checksum, so that a corrupt length is not mistaken for a torn write.
 */
internal fun frame(payload: ByteArray): ByteArray {
    val buffer = ByteBuffer.allocate(FRAME_HEADER_BYTES + payload.size)
    buffer.putInt(payload.size).putInt(crc32c(payload, payload.size))
    buffer.putInt(crc32c(buffer.array(), HEADER_FIELDS_BYTES))
    return buffer.put(payload).array()
}

private fun crc32c(
    bytes: ByteArray,
    length: Int,
): Int = CRC32C().apply { update(bytes, 0, length) }.value.toInt()

internal sealed interface FrameRead {
    class Whole(
        val payload: ByteArray,
        val nextOffset: Long,
    ) : FrameRead

    data object End : FrameRead

    /** The file ends within the frame, as after an interrupted write. */
    data object Torn : FrameRead

    class Corrupt(
        val message: String,
    ) : FrameRead
}

/** Reads the frames of [file] sequentially, with read-ahead. */
internal class FrameReader(
    private val file: JournalFile,
    private val sizeBytes: Long = file.size(),
) {
    private var readAhead = ByteArray(0)
    private var readAheadOffset = 0L

    fun readAt(offset: Long): FrameRead {
        val rest = sizeBytes - offset
        if (rest == 0L) return FrameRead.End
        if (rest < FRAME_HEADER_BYTES) return FrameRead.Torn
        val header = ByteBuffer.wrap(bytesAt(offset, FRAME_HEADER_BYTES))
        val length = header.getInt()
        val checksum = header.getInt()
        if (header.getInt() != crc32c(header.array(), HEADER_FIELDS_BYTES)) {
            return FrameRead.Corrupt("header checksum mismatch at byte $offset")
        }
        if (length < 0) return FrameRead.Corrupt("negative length $length at byte $offset")
        if (rest - FRAME_HEADER_BYTES < length) return FrameRead.Torn
        val payload = bytesAt(offset + FRAME_HEADER_BYTES, length)
        if (checksum != crc32c(payload, length)) return FrameRead.Corrupt("entry checksum mismatch at byte $offset")
        return FrameRead.Whole(payload, offset + FRAME_HEADER_BYTES + length)
    }

    private fun bytesAt(
        offset: Long,
        length: Int,
    ): ByteArray {
        val start = offset - readAheadOffset
        if (start < 0 || start + length > readAhead.size) {
            readAhead = file.readFully(offset, minOf(maxOf(length, READ_AHEAD_BYTES).toLong(), sizeBytes - offset).toInt())
            readAheadOffset = offset
            return readAhead.copyOf(length)
        }
        return readAhead.copyOfRange(start.toInt(), start.toInt() + length)
    }
}

internal fun JournalFile.readFully(
    offset: Long,
    length: Int,
): ByteArray {
    val buffer = ByteBuffer.allocate(length)
    while (buffer.hasRemaining()) {
        if (read(buffer, offset + buffer.position()) < 0) throw IOException("file ends at byte ${offset + buffer.position()}")
    }
    return buffer.array()
}

internal fun JournalFile.writeFully(
    bytes: ByteBuffer,
    offset: Long,
) {
    val start = bytes.position()
    var emptyWrites = 0
    while (bytes.hasRemaining()) {
        val count = write(bytes, offset + bytes.position() - start)
        emptyWrites = if (count == 0) emptyWrites + 1 else 0
        if (emptyWrites > MAX_EMPTY_WRITES) throw IOException("write made no progress at byte ${offset + bytes.position() - start}")
    }
}
