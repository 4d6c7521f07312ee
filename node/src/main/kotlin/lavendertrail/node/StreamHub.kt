package lavendertrail.node

import lavendertrail.model.CallId
import java.util.concurrent.ConcurrentHashMap

/** Receives text of a call that starts at byte [offsetBytes] of the whole answer. A lower offset than before retracts the text after it. */
internal typealias TextListener = (offsetBytes: Long, text: String) -> Unit

/**
 * Text of running calls. It bypasses the reducer: engines append, attached callers get each chunk at once, and a caller
 * that attaches late first gets the stored text from its own offset on.
 *
 * At most [maxBytesPerCall] are stored and streamed per call; the rest reaches callers with the final outcome.
 */
internal class StreamHub(
    private val maxBytesPerCall: Int = 4 * 1024 * 1024,
) {
    private val streams = ConcurrentHashMap<CallId, CallStream>()

    /** Number of calls whose text is kept. */
    val size: Int get() = streams.size

    /** Opens the stream of a call; a new attempt repeats the text from the start. */
    fun beginAttempt(
        call: CallId,
        attempt: Int,
    ): Unit = streams.computeIfAbsent(call) { CallStream(maxBytesPerCall) }.beginAttempt(attempt)

    /** Appends [text] of an [attempt] and delivers it; text of an attempt that was replaced is dropped. */
    fun append(
        call: CallId,
        attempt: Int,
        text: String,
    ) {
        streams[call]?.append(attempt, text)
    }

    /** Attaches [listener] at [fromByte]; false if the call isn't running here. */
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

    /** The call has its final outcome; [text] is null if it was refused. */
    fun finish(
        call: CallId,
        text: String?,
    ) {
        val stream = streams.remove(call) ?: return
        if (text != null) stream.finish(text)
    }

    /** An attempt ended; the text is kept for the next attempt or the final outcome. */
    fun attemptEnded(call: CallId) {
        streams[call]?.endedNanos = System.nanoTime()
    }

    /** Drops the texts of calls whose outcome nobody has waited for. */
    fun sweep(retentionNanos: Long) {
        val now = System.nanoTime()
        streams.values.removeIf { stream -> stream.endedNanos?.let { now - it > retentionNanos } ?: false }
    }
}
