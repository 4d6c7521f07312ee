package lavendertrail.node

import lavendertrail.peer.SubmitReply

/**
 * Text of one answer that was passed on to the caller, from byte [base] of the answer on. An owner that took over repeats
 * the text from [base]: what agrees isn't passed on again, and where it differs the caller gets it from there.
 */
internal class PassedText(
    private val base: Long,
) {
    private var bytes = ByteArray(0)
    private var size = 0

    /** The part of [text] that the caller doesn't have, or null where it has all of it. Empty text takes back what follows its offset. */
    fun fresh(text: SubmitReply.Text): SubmitReply.Text? {
        val chunk = text.text.toByteArray()
        val start = (text.offsetBytes - base).toInt()
        if (start !in 0..size) return text
        if (chunk.isEmpty()) return if (start == size) null else text.also { size = start }
        var agreeing = 0
        while (agreeing < chunk.size && start + agreeing < size && bytes[start + agreeing] == chunk[agreeing]) agreeing++
        if (agreeing == chunk.size) return null
        while (agreeing > 0 && chunk[agreeing].isContinuation()) agreeing--
        size = start + agreeing
        add(chunk, agreeing)
        return SubmitReply.Text(text.offsetBytes + agreeing, chunk.decodeToString(agreeing, chunk.size))
    }

    private fun add(
        chunk: ByteArray,
        from: Int,
    ) {
        val count = chunk.size - from
        if (size + count > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, size + count))
        chunk.copyInto(bytes, size, from)
        size += count
    }

    private fun Byte.isContinuation(): Boolean = toInt() and CONTINUATION_MASK == CONTINUATION

    private companion object {
        const val CONTINUATION_MASK = 0xc0
        const val CONTINUATION = 0x80
    }
}
