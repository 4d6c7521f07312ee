package lavendertrail.node

import lavendertrail.peer.SubmitReply

/**
 * Tracks the text of one answer that was delivered to the caller, from byte [startByte] of the answer on. After a takeover the new
 * owner repeats the text from [startByte]: matching text isn't delivered again, and from the first difference on the caller gets
 * the new text.
 */
internal class TextDeduplicator(
    private val startByte: Long,
) {
    private var bytes = ByteArray(0)
    private var sizeBytes = 0

    /** The part of [text] that the caller doesn't have, or null if it has all of it. Empty text retracts the text after its offset. */
    fun undelivered(text: SubmitReply.Text): SubmitReply.Text? {
        val chunk = text.text.toByteArray()
        val start = (text.offsetBytes - startByte).toInt()
        if (start !in 0..sizeBytes) return text
        if (chunk.isEmpty()) return if (start == sizeBytes) null else text.also { sizeBytes = start }
        var matching = 0
        while (matching < chunk.size && start + matching < sizeBytes && bytes[start + matching] == chunk[matching]) matching++
        if (matching == chunk.size) return null
        while (matching > 0 && chunk[matching].isContinuation()) matching--
        sizeBytes = start + matching
        appendBytes(chunk, matching)
        return SubmitReply.Text(text.offsetBytes + matching, chunk.decodeToString(matching, chunk.size))
    }

    private fun appendBytes(
        chunk: ByteArray,
        from: Int,
    ) {
        val count = chunk.size - from
        if (sizeBytes + count > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, sizeBytes + count))
        chunk.copyInto(bytes, sizeBytes, from)
        sizeBytes += count
    }

    private fun Byte.isContinuation(): Boolean = toInt() and CONTINUATION_MASK == CONTINUATION

    private companion object {
        const val CONTINUATION_MASK = 0xc0
        const val CONTINUATION = 0x80
    }
}
