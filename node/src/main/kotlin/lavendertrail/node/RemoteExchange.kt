package lavendertrail.node

import lavendertrail.peer.SubmitReply
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** One request submitted to another node. Replies after [close] are dropped, so that they can't mix with those of the next try. */
internal class RemoteExchange(
    private val onText: (SubmitReply.Text) -> Unit,
) {
    private val ended = CountDownLatch(1)
    private var finalReply: SubmitReply? = null
    private var closed = false
    private var failure: CallerDisconnectedException? = null

    @Synchronized
    fun onReply(reply: SubmitReply) {
        if (closed) throw CallerDisconnectedException()
        if (reply is SubmitReply.Text) deliverText(reply) else finalReply = reply
    }

    fun onEnd(): Unit = ended.countDown()

    fun await(millis: Long): Boolean = ended.await(millis, TimeUnit.MILLISECONDS)

    /** The final reply, or null if none arrived. */
    @Synchronized
    fun close(): SubmitReply? {
        closed = true
        failure?.let { throw it }
        return finalReply
    }

    private fun deliverText(text: SubmitReply.Text) {
        try {
            onText(text)
        } catch (disconnected: CallerDisconnectedException) {
            failure = disconnected
            closed = true
            ended.countDown()
            throw disconnected
        }
    }
}
