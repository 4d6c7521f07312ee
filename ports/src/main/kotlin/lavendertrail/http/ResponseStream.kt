package lavendertrail.http

import java.io.FilterInputStream
import java.io.InputStream

/**
 * The body of a response. At its end the connection goes back to the pool; closed earlier, the connection is [cut],
 * because the library's own close reads the rest first, which never comes in an endless stream.
 */
internal class ResponseStream(
    content: InputStream,
    private val cut: () -> Unit,
) : FilterInputStream(content) {
    @Volatile
    private var atEnd = false

    override fun read(): Int = super.read().also { if (it < 0) atEnd = true }

    override fun read(
        buffer: ByteArray,
        start: Int,
        length: Int,
    ): Int = super.read(buffer, start, length).also { if (it < 0) atEnd = true }

    override fun close() {
        if (!atEnd) cut()
    }
}
