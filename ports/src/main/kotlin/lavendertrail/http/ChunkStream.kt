package lavendertrail.http

import java.io.IOException
import java.io.InputStream
import java.util.concurrent.LinkedBlockingQueue

/**
 * An [InputStream] that other threads write to. A read returns what is there, so that a server can pass on each chunk
 * as it comes; [httpServer] takes the chunks without a waiting thread. `java.io.PipedInputStream` is no replacement: its
 * readers poll once a second. With [holdHeaders] the server sends the response's head together with the first chunk.
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

    /** True once the reader has closed the stream; what is written after that is dropped. */
    @Volatile
    public var isClosed: Boolean = false
        private set

    public fun send(text: String): Unit = send(text.toByteArray())

    public fun send(bytes: ByteArray) {
        if (bytes.isNotEmpty() && !isClosed) put(bytes)
    }

    /** Ends the stream after what was sent so far. */
    public fun end(): Unit = put(END)

    /** Breaks the stream after what was sent so far: the reader gets an error, and a server cuts the connection. */
    public fun abort(): Unit = put(ABORT)

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

    /** Calls [onAvailable] after each write, from the writer's thread. For readers that use [poll]. */
    internal fun listen(onAvailable: () -> Unit) {
        listener = onAvailable
    }

    /** The next chunk, [END] or [ABORT]; null where nothing is there yet. */
    internal fun poll(): ByteArray? = chunks.poll()

    /** Further chunks of data that are there, of at most [maxBytes] together. For one reader at a time. */
    internal fun pollData(maxBytes: Int): List<ByteArray> {
        val taken = mutableListOf<ByteArray>()
        var left = maxBytes
        while (true) {
            val next = chunks.peek() ?: return taken
            if (next === END || next === ABORT || next.size > left) return taken
            left -= next.size
            taken.add(chunks.poll())
        }
    }

    private fun put(chunk: ByteArray) {
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
