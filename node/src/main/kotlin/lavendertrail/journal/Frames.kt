package lavendertrail.journal

import java.io.IOException
import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Bytes of payload length, payload checksum and header checksum. */
internal const val FRAME_HEADER_BYTES = 12

private const val HEADER_FIELDS_BYTES = 8
private const val READ_AHEAD_BYTES = 128 * 1024
private const val MAX_EMPTY_WRITES = 3

/**
 * Frame of [payload]: length, CRC-32C of the payload, CRC-32C of these two, payload. The header has a checksum of its
 * own, so that a changed length is not taken for a frame that was torn while it was written.
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

    /** The file ends within the frame, as after a write that was cut off. */
    data object Torn : FrameRead

    class Corrupt(
        val message: String,
    ) : FrameRead
}

/** Reads frames of [file] one after the other, with read-ahead. */
internal class FrameReader(
    private val file: JournalFile,
    private val sizeBytes: Long = file.size(),
) {
    private var ahead = ByteArray(0)
    private var aheadOffset = 0L

    fun readAt(offset: Long): FrameRead {
        val rest = sizeBytes - offset
        if (rest == 0L) return FrameRead.End
        if (rest < FRAME_HEADER_BYTES) return FrameRead.Torn
        val header = ByteBuffer.wrap(bytesAt(offset, FRAME_HEADER_BYTES))
        val length = header.getInt()
        val checksum = header.getInt()
        if (header.getInt() != crc32c(header.array(), HEADER_FIELDS_BYTES)) return FrameRead.Corrupt("checksum of header at byte $offset")
        if (length < 0) return FrameRead.Corrupt("length $length at byte $offset")
        if (rest - FRAME_HEADER_BYTES < length) return FrameRead.Torn
        val payload = bytesAt(offset + FRAME_HEADER_BYTES, length)
        if (checksum != crc32c(payload, length)) return FrameRead.Corrupt("checksum of entry at byte $offset")
        return FrameRead.Whole(payload, offset + FRAME_HEADER_BYTES + length)
    }

    private fun bytesAt(
        offset: Long,
        length: Int,
    ): ByteArray {
        val start = offset - aheadOffset
        if (start < 0 || start + length > ahead.size) {
            ahead = file.readFully(offset, minOf(maxOf(length, READ_AHEAD_BYTES).toLong(), sizeBytes - offset).toInt())
            aheadOffset = offset
            return ahead.copyOf(length)
        }
        return ahead.copyOfRange(start.toInt(), start.toInt() + length)
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
        if (emptyWrites > MAX_EMPTY_WRITES) throw IOException("file accepts no bytes at ${offset + bytes.position() - start}")
    }
}
