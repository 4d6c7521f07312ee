package lavendertrail.node

/** Text of one running call in UTF-8, and the callers that are attached to it. */
internal class CallStream(
    private val maxBytes: Int,
) {
    private class AttachedCaller(
        val requestId: Long,
        var sentBytes: Int,
        val listener: TextListener,
    )

    private val attached = mutableListOf<AttachedCaller>()
    private var bytes = ByteArray(INITIAL_BYTES)
    private var sizeBytes = 0
    private var attempt = -1

    /** Length of the prefix in which the current attempt's text matches the text delivered so far, also by earlier attempts. */
    private var confirmedBytes = 0

    /** No more text is accepted: the limit is reached or the answer is final. */
    private var full = false

    /** When the last attempt ended, in the unit of `System.nanoTime`; null while one runs. */
    @Volatile
    var endedNanos: Long? = null

    @Synchronized
    fun beginAttempt(newAttempt: Int) {
        endedNanos = null
        if (newAttempt <= attempt) return
        attempt = newAttempt
        confirmedBytes = 0
        full = false
    }

    @Synchronized
    fun append(
        fromAttempt: Int,
        text: String,
    ) {
        if (fromAttempt != attempt || full) return
        val chunk = text.toByteArray()
        val matching = matchingBytes(chunk)
        confirmedBytes += matching
        if (matching == chunk.size) return
        if (confirmedBytes < sizeBytes) truncate(confirmedBytes)
        if (sizeBytes + chunk.size - matching > maxBytes) {
            full = true
            return
        }
        appendBytes(chunk, matching)
        confirmedBytes = sizeBytes
        attached.toList().forEach(::deliver)
    }

    @Synchronized
    fun attach(
        requestId: Long,
        fromByte: Long,
        listener: TextListener,
    ) {
        val caller = AttachedCaller(requestId, charStart(minOf(fromByte, sizeBytes.toLong()).toInt()), listener)
        attached.removeAll { it.requestId == requestId }
        attached += caller
        deliver(caller)
    }

    /** Retracts delivered text that isn't part of the final [text]; text still missing reaches callers with the outcome. */
    @Synchronized
    fun finish(text: String) {
        val final = text.toByteArray()
        var commonBytes = 0
        while (commonBytes < sizeBytes && commonBytes < final.size && bytes[commonBytes] == final[commonBytes]) commonBytes++
        full = true
        if (commonBytes == sizeBytes) return
        val callers = attached.toList()
        truncate(commonBytes)
        callers.forEach { it.listener(it.sentBytes.toLong(), "") }
    }

    @Synchronized
    fun detach(requestId: Long) {
        attached.removeAll { it.requestId == requestId }
    }

    private fun deliver(caller: AttachedCaller) {
        if (caller.sentBytes >= sizeBytes) return
        val from = caller.sentBytes
        caller.sentBytes = sizeBytes
        caller.listener(from.toLong(), bytes.decodeToString(from, sizeBytes))
    }

    private fun matchingBytes(chunk: ByteArray): Int {
        var count = 0
        while (count < chunk.size && confirmedBytes + count < sizeBytes && bytes[confirmedBytes + count] == chunk[count]) count++
        return count
    }

    /** Drops the text after [length], where a later attempt or the final answer differs. Cuts at the start of a character. */
    private fun truncate(length: Int) {
        sizeBytes = charStart(length)
        attached.forEach { it.sentBytes = minOf(it.sentBytes, sizeBytes) }
    }

    private fun appendBytes(
        chunk: ByteArray,
        from: Int,
    ) {
        // truncate() may have moved back to the start of a character, whose first bytes match and are in the chunk.
        val begin = from - (confirmedBytes - sizeBytes).coerceAtLeast(0)
        val count = chunk.size - begin
        if (sizeBytes + count > bytes.size) bytes = bytes.copyOf(maxOf(bytes.size * 2, sizeBytes + count))
        chunk.copyInto(bytes, sizeBytes, begin, chunk.size)
        sizeBytes += count
    }

    private fun charStart(position: Int): Int {
        var start = position
        while (start in 1 until sizeBytes && bytes[start].toInt() and CONTINUATION_MASK == CONTINUATION) start--
        return start
    }

    private companion object {
        const val INITIAL_BYTES = 512
        const val CONTINUATION_MASK = 0xc0
        const val CONTINUATION = 0x80
    }
}
