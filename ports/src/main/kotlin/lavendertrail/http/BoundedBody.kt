package lavendertrail.http

import java.io.ByteArrayOutputStream

/** Collects a request body of at most [maxBytes]. The content of a larger body is discarded. */
internal class BoundedBody(
    private val maxBytes: Long,
) {
    private val collected = ByteArrayOutputStream()
    private var tooLarge = false

    fun add(part: ByteArray) {
        tooLarge = tooLarge || collected.size() + part.size > maxBytes
        if (tooLarge) collected.reset() else collected.write(part)
    }

    /** Null if the body was larger than [maxBytes]. */
    fun bytesOrNull(): ByteArray? = if (tooLarge) null else collected.toByteArray()
}
