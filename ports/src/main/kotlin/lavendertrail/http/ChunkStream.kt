package lavendertrail.http

import java.io.InputStream
import java.util.concurrent.LinkedBlockingQueue

/**
 * An [InputStream] that other threads write to. A read returns what is there, so that a server can pass on each chunk
 * as it comes. `java.io.PipedInputStream` is no replacement: its readers poll once a second.
 */
public class ChunkStream : InputStream() {
    private val chunks = LinkedBlockingQueue<ByteArray>()
    private var current = ByteArray(0)
    private var offset = 0
    private var ended = false

    /** True once the reader has closed the stream; what is written after that is dropped. */
    @Volatile
    public var isClosed: Boolean = false
        private set

    public fun send(text: String) {
        val bytes = text.toByteArray()
        if (bytes.isNotEmpty() && !isClosed) chunks.add(bytes)
    }

    /** Ends the stream after what was sent so far. */
    public fun end() {
        chunks.add(END)
    }

    override fun read(): Int {
        val single = ByteArray(1)
        return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and 0xff
    }

    override fun read(
        buffer: ByteArray,
        start: Int,
        length: Int,
    ): Int {
        if (length == 0) return 0
        if (!awaitChunk()) return -1
        val count = minOf(length, current.size - offset)
        current.copyInto(buffer, start, offset, offset + count)
        offset += count
        return count
    }

    override fun close() {
        isClosed = true
    }

    private fun awaitChunk(): Boolean {
        while (!ended && offset == current.size) {
            current = chunks.take()
            offset = 0
            ended = current === END
        }
        return !ended
    }

    private companion object {
        val END = ByteArray(0)
    }
}
