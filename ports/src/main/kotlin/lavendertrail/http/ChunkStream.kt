package lavendertrail.http

import java.io.IOException
import java.io.InputStream
import java.util.concurrent.LinkedBlockingQueue

/**
 * An [InputStream] that other threads write to. A read returns the bytes that are available, so that a server can forward
 * each chunk as it arrives; [httpServer] reads the chunks without a blocked thread. `java.io.PipedInputStream` is not suitable:
 * its readers poll once a second. With [holdHeaders] the server sends the response headers together with the first chunk.
 */
public class ChunkStream(
    internal val holdHeaders: Boolean = false,
) : InputStream() {
    private val chunks = LinkedBlockingQueue<ByteArray>()
    private var current = ByteArray(0)
    private var offset = 0
    private var ended = false

    @Volatile
    private var listener: (() -> Unit)? = null

    /** True once the reader has closed the stream. Data written after that is discarded. */
    @Volatile
    public var isClosed: Boolean = false
        private set

    public fun send(text: String): Unit = send(text.toByteArray())

    public fun send(bytes: ByteArray) {
        if (bytes.isNotEmpty() && !isClosed) enqueue(bytes)
    }

    /** Ends the stream after the data sent so far. */
    public fun end(): Unit = enqueue(END)

    /** Aborts the stream after the data sent so far: the reader gets an error, and a server closes the connection. */
    public fun abort(): Unit = enqueue(ABORT)

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

    /** Registers [onAvailable], which the writing thread calls after each write. For readers that use [poll]. */
    internal fun listen(onAvailable: () -> Unit) {
        listener = onAvailable
    }

    /** The next chunk, [END] or [ABORT]; null if nothing is available yet. */
    internal fun poll(): ByteArray? = chunks.poll()

    /** Further available data chunks with a total size of at most [maxBytes]. Not safe for concurrent readers. */
    internal fun pollData(maxBytes: Int): List<ByteArray> {
        val taken = mutableListOf<ByteArray>()
        var remainingBytes = maxBytes
        while (true) {
            val next = chunks.peek() ?: return taken
            if (next === END || next === ABORT || next.size > remainingBytes) return taken
            remainingBytes -= next.size
            taken.add(chunks.poll())
        }
    }

    private fun enqueue(chunk: ByteArray) {
        chunks.add(chunk)
        listener?.invoke()
    }

    private fun awaitChunk(): Boolean {
        while (!ended && offset == current.size) {
            current = chunks.take()
            offset = 0
            ended = current === END
            if (current === ABORT) throw IOException("the stream was aborted by its writer")
        }
        return !ended
    }

    internal companion object {
        val END = ByteArray(0)
        val ABORT = ByteArray(0)
    }
}
