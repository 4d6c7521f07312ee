package lavendertrail.node

/** Text of one running call in UTF-8, and the callers that are attached to it. */
internal class CallStream(
    private val maxBytes: Int,
) {
    private class Attached(
        val requestId: Long,
        var sentBytes: Int,
        val listener: TextListener,
    )

    private val attached = mutableListOf<Attached>()
    private var bytes = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var attempt = -1

    /** How far the current attempt's text agrees with what an earlier attempt has already passed on. */
    private var confirmed = 0
    private var full = false

    /** When the last attempt ended, in the unit of `System.nanoTime`; null while one runs. */
    @Volatile
    var endedNanos: Long? = null

    @Synchronized
    fun begin(newAttempt: Int) {
        endedNanos = null
        if (newAttempt <= attempt) return
        attempt = newAttempt
        confirmed = 0
        full = false
    }

    @Synchronized
    fun append(
        fromAttempt: Int,
        text: String,
    ) {
        if (fromAttempt != attempt || full) return
        val chunk = text.toByteArray()
        val agreeing = agreeingBytes(chunk)
        confirmed += agreeing
        if (agreeing == chunk.size) return
        if (confirmed < size) cut(confirmed)
        if (size + chunk.size - agreeing > maxBytes) {
            full = true
            return
        }
        add(chunk, agreeing)
        confirmed = size
        attached.toList().forEach(::pass)
    }

    @Synchronized
    fun attach(
        requestId: Long,
        fromByte: Long,
        listener: TextListener,
    ) {
        val newcomer = Attached(requestId, charStart(minOf(fromByte, size.toLong()).toInt()), listener)
        attached.removeAll { it.requestId == requestId }
        attached += newcomer
        pass(newcomer)
    }

    /** Takes back what was passed on and isn't in the final [text]; what is missing reaches callers with the outcome. */
    @Synchronized
    fun finish(text: String) {
        val final = text.toByteArray()
        var same = 0
        while (same < size && same < final.size && bytes[same] == final[same]) same++
        full = true
        if (same == size) return
        val ahead = attached.toList()
        cut(same)
        ahead.forEach { it.listener(it.sentBytes.toLong(), "") }
    }

    @Synchronized
    fun detach(requestId: Long) {
        attached.removeAll { it.requestId == requestId }
    }

    private fun pass(caller: Attached) {
        if (caller.sentBytes >= size) return
        val from = caller.sentBytes
        caller.sentBytes = size
        caller.listener(from.toLong(), bytes.decodeToString(from, size))
    }

    private fun agreeingBytes(chunk: ByteArray): Int {
        var count = 0
        while (count < chunk.size && confirmed + count < size && bytes[confirmed + count] == chunk[count]) count++
        return count
    }

    /** A later attempt gave other text, so that what follows [length] is taken back. */
    private fun cut(length: Int) {
        size = charStart(length)
        attached.forEach { it.sentBytes = minOf(it.sentBytes, size) }
    }

    private fun add(
        chunk: ByteArray,
        from: Int,
    ) {
        // A cut may have moved back to the start of a character, whose first bytes agree and are in the chunk.
        val begin = from - (confirmed - size).coerceAtLeast(0)
        val count = chunk.size - begin
        if (size + count > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, size + count))
        chunk.copyInto(bytes, size, begin, chunk.size)
        size += count
    }

    private fun charStart(position: Int): Int {
        var start = position
        while (start in 1 until size && bytes[start].toInt() and CONTINUATION_MASK == CONTINUATION) start--
        return start
    }

    private companion object {
        const val INITIAL_BYTES = 512
        const val CONTINUATION_MASK = 0xc0
        const val CONTINUATION = 0x80
    }
}
