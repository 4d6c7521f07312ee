package lavendertrail.node

import lavendertrail.model.CallId
import java.util.concurrent.ConcurrentHashMap

/** Receives text of a call that starts at byte [offsetBytes] of the whole answer. A lower offset than before takes back what followed it. */
internal typealias TextListener = (offsetBytes: Long, text: String) -> Unit

/**
 * Text of running calls. It bypasses the reducer: engines append, attached callers get each chunk at once, and a caller
 * that attaches late gets what was there from its own offset on.
 *
 * At most [maxBytesPerCall] are kept and passed on per call; what follows reaches callers with the final outcome.
 */
internal class StreamHub(
    private val maxBytesPerCall: Int = 4 * 1024 * 1024,
) {
    private val streams = ConcurrentHashMap<CallId, CallStream>()

    /** Number of calls whose text is kept. */
    val size: Int get() = streams.size

    /** Makes room for a call's text; a new attempt repeats the text from the start. */
    fun begin(
        call: CallId,
        attempt: Int,
    ): Unit = streams.computeIfAbsent(call) { CallStream(maxBytesPerCall) }.begin(attempt)

    /** Adds [text] of an [attempt] and passes it on; text of an attempt that was replaced is dropped. */
    fun append(
        call: CallId,
        attempt: Int,
        text: String,
    ) {
        streams[call]?.append(attempt, text)
    }

    /** Attaches [listener] at [fromByte]; false where the call isn't running here. */
    fun attach(
        call: CallId,
        requestId: Long,
        fromByte: Long,
        listener: TextListener,
    ): Boolean {
        val stream = streams[call] ?: return false
        stream.attach(requestId, fromByte, listener)
        return true
    }

    fun detach(
        call: CallId,
        requestId: Long,
    ) {
        streams[call]?.detach(requestId)
    }

    /** The call has its final outcome; [text] is null where it was refused. */
    fun finish(
        call: CallId,
        text: String?,
    ) {
        val stream = streams.remove(call) ?: return
        if (text != null) stream.finish(text)
    }

    /** An attempt ended; the text stays for a next attempt or the final outcome. */
    fun attemptEnded(call: CallId) {
        streams[call]?.endedNanos = System.nanoTime()
    }

    /** Drops texts of calls whose outcome nobody waited for. */
    fun sweep(keepNanos: Long) {
        val now = System.nanoTime()
        streams.values.removeIf { stream -> stream.endedNanos?.let { now - it > keepNanos } ?: false }
    }
}
