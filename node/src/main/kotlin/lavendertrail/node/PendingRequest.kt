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

    /** True once the listener failed, which means that the caller went away. */
    @Volatile
    var gone = false
        private set

    fun text(
        offsetBytes: Long,
        text: String,
    ): Unit = synchronized(this) { if (!done) pass(SubmitReply.Text(offsetBytes, text)) }

    fun finish(reply: SubmitReply) {
        synchronized(this) {
            if (done) return
            done = true
            pass(reply)
        }
        finished.countDown()
    }

    fun await(millis: Long): Boolean = finished.await(millis, TimeUnit.MILLISECONDS)

    private fun pass(reply: SubmitReply) {
        if (gone) return
        try {
            listener(reply)
        } catch (_: CallerDisconnectedException) {
            gone = true
        }
    }
}

/** Thrown by a listener of replies whose caller has closed the connection. */
internal class CallerDisconnectedException : RuntimeException("caller closed the connection")
