package lavendertrail.node

import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * A request that waits for the reducer's answer. Replies come from engine threads and from the runner; the lock keeps
 * them in order, and nothing follows the final reply.
 */
internal class PendingRequest(
    val id: Long,
    val request: SubmitRequest,
    private val listener: (SubmitReply) -> Unit,
) {
    private val finished = CountDownLatch(1)
    private var done = false

    /** True once the listener has failed, which means that the caller has disconnected. */
    @Volatile
    var callerGone = false
        private set

    fun deliverText(
        offsetBytes: Long,
        text: String,
    ): Unit = synchronized(this) { if (!done) deliver(SubmitReply.Text(offsetBytes, text)) }

    fun finish(reply: SubmitReply) {
        synchronized(this) {
            if (done) return
            done = true
            deliver(reply)
        }
        finished.countDown()
    }

    fun await(millis: Long): Boolean = finished.await(millis, TimeUnit.MILLISECONDS)

    private fun deliver(reply: SubmitReply) {
        if (callerGone) return
        try {
            listener(reply)
        } catch (_: CallerDisconnectedException) {
            callerGone = true
        }
    }
}

/** Thrown by a listener of replies whose caller has closed the connection. */
internal class CallerDisconnectedException : RuntimeException("caller closed the connection")
