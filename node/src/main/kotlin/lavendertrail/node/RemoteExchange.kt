package lavendertrail.node

import lavendertrail.peer.SubmitReply
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** One submit to another node. Once closed, its late replies are dropped, so that they can't mix with a next try's. */
internal class RemoteExchange(
    private val onText: (SubmitReply.Text) -> Unit,
) {
    private val ended = CountDownLatch(1)
    private var final: SubmitReply? = null
    private var closed = false
    private var failure: CallerDisconnectedException? = null

    @Synchronized
    fun reply(reply: SubmitReply) {
        if (closed) throw CallerDisconnectedException()
        if (reply is SubmitReply.Text) passText(reply) else final = reply
    }

    fun end(): Unit = ended.countDown()

    fun await(millis: Long): Boolean = ended.await(millis, TimeUnit.MILLISECONDS)

    /** The final reply, or null where none came. */
    @Synchronized
    fun close(): SubmitReply? {
        closed = true
        failure?.let { throw it }
        return final
    }

    private fun passText(text: SubmitReply.Text) {
        try {
            onText(text)
        } catch (gone: CallerDisconnectedException) {
            failure = gone
            closed = true
            ended.countDown()
            throw gone
        }
    }
}
