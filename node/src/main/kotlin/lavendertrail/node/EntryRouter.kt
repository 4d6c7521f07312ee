package lavendertrail.node

import lavendertrail.model.CallResult
import lavendertrail.model.NodeId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.peer.PeerService
import lavendertrail.peer.SubmitReply
import lavendertrail.peer.SubmitRequest
import lavendertrail.reducer.NodeState
import org.tinylog.kotlin.Logger
import java.util.concurrent.ThreadLocalRandom

/**
 * Takes a request to the node that owns its program. A node that isn't the owner any more, or a connection that broke,
 * is no answer: the owner is looked up again and the same position submitted again, within the request's deadline.
 * That is safe because a position runs once. Text is asked for from the caller's own offset again, so that text of another
 * run is noticed; see [PassedText].
 */
internal class EntryRouter(
    private val self: NodeId,
    private val state: () -> NodeState,
    private val owner: LocalOwner,
    private val peers: Peers,
    private val background: BackgroundExecutor,
    private val clock: () -> Long = System::currentTimeMillis,
    private val onForward: () -> Unit = {},
) {
    /** Passes texts to [onText] as they come and returns the final reply. */
    fun submit(
        request: SubmitRequest,
        deadlineMillis: Long,
        onText: (SubmitReply.Text) -> Unit = {},
    ): SubmitReply {
        val base = (request as? SubmitRequest.Call)?.fromByte ?: 0
        val passed = PassedText(base)
        val pass = { text: SubmitReply.Text -> passed.fresh(text)?.let(onText) ?: Unit }
        var tries = 0
        var left = false
        while (true) {
            val leftMillis = deadlineMillis + GRACE_MILLIS - clock()
            val target = ownerNode(request)
            val outcome = route(target, request, leftMillis, pass)
            val reply = outcome.reply
            left = left || outcome.left
            if (reply != null && !reply.isRetryable()) {
                if (tries > 0) reply.answerFrom(base)?.let(pass)
                return reply
            }
            val delayMillis = backoffMillis(tries++)
            if (clock() + delayMillis > deadlineMillis) return reply ?: SubmitReply.Refused(unreachable(target, left))
            Thread.sleep(delayMillis)
        }
    }

    /** What one try gave; [left] is true where the request may have reached an owner and no reply came back. */
    private class Outcome(
        val reply: SubmitReply?,
        val left: Boolean,
    )

    private fun route(
        target: NodeId?,
        request: SubmitRequest,
        leftMillis: Long,
        onText: (SubmitReply.Text) -> Unit,
    ): Outcome {
        if (target == null) return Outcome(null, left = false)
        if (target == self) return Outcome(local(request, leftMillis, onText), left = false)
        val peer = peers.peer(target) ?: return Outcome(null, left = false)
        onForward()
        val reply = remote(target, peer, request, leftMillis, onText)
        return Outcome(reply, left = reply == null)
    }

    private fun local(
        request: SubmitRequest,
        leftMillis: Long,
        onText: (SubmitReply.Text) -> Unit,
    ): SubmitReply? {
        var final: SubmitReply? = null
        owner.submit(request, leftMillis) { reply -> if (reply is SubmitReply.Text) onText(reply) else final = reply }
        return final
    }

    /** Gives up on [target] as soon as the partition has another owner, so that a frozen node delays no caller. */
    private fun remote(
        target: NodeId,
        peer: PeerService,
        request: SubmitRequest,
        leftMillis: Long,
        onText: (SubmitReply.Text) -> Unit,
    ): SubmitReply? {
        val exchange = RemoteExchange(onText)
        background.run("submit to $target") {
            try {
                peer.submit(request, exchange::reply)
                exchange.end()
            } catch (error: RuntimeException) {
                Logger.debug("api: submit of ${request.program} to $target failed: $error")
                exchange.end()
            }
        }
        val until = clock() + leftMillis
        while (!exchange.await(OWNER_CHECK_MILLIS)) {
            if (ownerNode(request) != target || clock() > until) break
        }
        return exchange.close()
    }

    private fun ownerNode(request: SubmitRequest): NodeId? =
        state()
            .membership.partitions[request.program.partition]
            ?.record
            ?.ownerNode

    private fun unreachable(
        target: NodeId?,
        left: Boolean,
    ): Refusal =
        Refusal(
            outcome = if (left) RunOutcome.MAY_HAVE_RUN else RunOutcome.NOT_RUN,
            reason = RefusalReason.RECOVERING,
            message = if (target == null) "the program's partition has no owner" else "the program's owner can't be reached",
            retryAfterMillis = RETRY_AFTER_MILLIS,
            step = "forward",
            peer = target?.value,
        )

    private companion object {
        /** The owner ends calls at their deadline itself; its answer must not be cut off by a clock that runs ahead. */
        const val GRACE_MILLIS = 2_000L
        const val OWNER_CHECK_MILLIS = 100L
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}

private const val FIRST_BACKOFF_MILLIS = 10L
private const val MAX_BACKOFF_DOUBLINGS = 5

private fun backoffMillis(tries: Int): Long {
    val ceiling = FIRST_BACKOFF_MILLIS shl minOf(tries, MAX_BACKOFF_DOUBLINGS)
    return ThreadLocalRandom.current().nextLong(ceiling / 2, ceiling + 1)
}

/** A stored outcome comes without its stream, and may be of another run than the text that was passed on before. */
private fun SubmitReply.answerFrom(base: Long): SubmitReply.Text? {
    val bytes = ((this as? SubmitReply.Call)?.result as? CallResult.Answered)?.text?.toByteArray() ?: return null
    return if (base >= bytes.size) null else SubmitReply.Text(base, bytes.decodeToString(base.toInt(), bytes.size))
}

/** Reasons that pass once the partition has its next owner. Trying again is safe whatever the outcome, because a position runs once. */
private fun SubmitReply.isRetryable(): Boolean {
    val refusal =
        when (this) {
            is SubmitReply.Refused -> refusal
            is SubmitReply.Call -> (result as? CallResult.Refused)?.refusal
            else -> null
        } ?: return false
    return refusal.reason in RETRYABLE
}

private val RETRYABLE = setOf(RefusalReason.NOT_OWNER, RefusalReason.RECOVERING, RefusalReason.SHUTTING_DOWN)
