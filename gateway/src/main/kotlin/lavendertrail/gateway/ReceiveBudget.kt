package lavendertrail.gateway

/**
 * Limits the memory for the responses that are being read, all of them together. Faulty servers may send without end over many
 * connections at once; then the largest responses are ended, and the others go on. Accessed only on the event loop.
 */
internal class ReceiveBudget(
    private val maxBytes: Long,
) {
    private val keptBytes = HashMap<ServerConnection, Long>()
    private var totalBytes = 0L

    /** Records that [bytes] are kept for the response that [connection] is reading. */
    fun record(
        connection: ServerConnection,
        bytes: Long,
    ) {
        if (bytes == 0L && connection !in keptBytes) return
        totalBytes += bytes - (keptBytes.put(connection, bytes) ?: 0)
        while (totalBytes > maxBytes) {
            val largest = keptBytes.maxBy { it.value }.key
            release(largest)
            largest.fail("responses being read exceed $maxBytes bytes, this one is the largest")
        }
    }

    /** Records that the response has ended. */
    fun release(connection: ServerConnection) {
        totalBytes -= keptBytes.remove(connection) ?: return
    }
}

/** An eighth of the heap: buffers have up to twice the size of their content, and caches and connections need most of the rest. */
internal fun defaultReceiveBudgetBytes(): Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR

private const val HEAP_DIVISOR = 8
