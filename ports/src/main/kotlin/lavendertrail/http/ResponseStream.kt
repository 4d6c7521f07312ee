package lavendertrail.http

import java.io.FilterInputStream
import java.io.InputStream

/**
 * The body of a response. At its end the connection returns to the pool. If it is closed earlier, [abortConnection] is called,
 * because the library's own close reads the rest of the body first, which never ends for an endless stream.
 */
internal class ResponseStream(
    content: InputStream,
    private val abortConnection: () -> Unit,
) : FilterInputStream(content) {
    @Volatile
    private var reachedEnd = false

    override fun read(): Int = super.read().also { if (it < 0) reachedEnd = true }

    override fun read(
        buffer: ByteArray,
        start: Int,
        length: Int,
    ): Int = super.read(buffer, start, length).also { if (it < 0) reachedEnd = true }

    override fun close() {
        if (!reachedEnd) abortConnection()
    }
}
