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
 * Routes a request to the node that owns its program. If that node is no longer the owner, or the connection breaks, the
 * owner is looked up again and the same position is submitted again, within the request's deadline. That is safe because a
 * position runs once. Text is requested from the caller's own offset again, so that text of another run is detected; see
 * [TextDeduplicator].
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
    /** Passes each text to [onText] as it arrives and returns the final reply. */
    fun submit(
        request: SubmitRequest,
        deadlineMillis: Long,
        onText: (SubmitReply.Text) -> Unit = {},
    ): SubmitReply {
        val startByte = (request as? SubmitRequest.Call)?.fromByte ?: 0
        val deduplicator = TextDeduplicator(startByte)
        val deliver = { text: SubmitReply.Text -> deduplicator.undelivered(text)?.let(onText) ?: Unit }
        var retries = 0
        var mayHaveRun = false
        while (true) {
            val remainingMillis = deadlineMillis + DEADLINE_GRACE_MILLIS - clock()
            val target = ownerNode(request)
            val outcome = route(target, request, remainingMillis, deliver)
            val reply = outcome.reply
            mayHaveRun = mayHaveRun || outcome.mayHaveRun
            if (reply != null && !reply.isRetryable()) {
                if (retries > 0) reply.textFrom(startByte)?.let(deliver)
                return reply
            }
            val delayMillis = backoffMillis(retries++)
            if (clock() + delayMillis > deadlineMillis) return reply ?: SubmitReply.Refused(ownerUnreachable(target, mayHaveRun))
            Thread.sleep(delayMillis)
        }
    }

    /** Result of one try; [mayHaveRun] is true if the request may have reached an owner and no reply arrived. */
    private class Outcome(
        val reply: SubmitReply?,
        val mayHaveRun: Boolean,
    )

    private fun route(
        target: NodeId?,
        request: SubmitRequest,
        remainingMillis: Long,
        onText: (SubmitReply.Text) -> Unit,
    ): Outcome {
        if (target == null) return Outcome(null, mayHaveRun = false)
        if (target == self) return Outcome(submitLocally(request, remainingMillis, onText), mayHaveRun = false)
        val peer = peers.peer(target) ?: return Outcome(null, mayHaveRun = false)
        onForward()
        val reply = submitToPeer(target, peer, request, remainingMillis, onText)
        return Outcome(reply, mayHaveRun = reply == null)
    }

    private fun submitLocally(
        request: SubmitRequest,
        remainingMillis: Long,
        onText: (SubmitReply.Text) -> Unit,
    ): SubmitReply? {
        var finalReply: SubmitReply? = null
        owner.submit(request, remainingMillis) { reply -> if (reply is SubmitReply.Text) onText(reply) else finalReply = reply }
        return finalReply
    }

    /** Stops waiting for [target] as soon as the partition has another owner, so that a frozen node delays no caller. */
    private fun submitToPeer(
        target: NodeId,
        peer: PeerService,
        request: SubmitRequest,
        remainingMillis: Long,
        onText: (SubmitReply.Text) -> Unit,
    ): SubmitReply? {
        val exchange = RemoteExchange(onText)
        background.run("submit to $target") {
            try {
                peer.submit(request, exchange::onReply)
                exchange.onEnd()
            } catch (error: RuntimeException) {
                Logger.debug("api: submit of ${request.program} to $target failed: $error")
                exchange.onEnd()
            }
        }
        val untilMillis = clock() + remainingMillis
        while (!exchange.await(OWNER_CHECK_INTERVAL_MILLIS)) {
            if (ownerNode(request) != target || clock() > untilMillis) break
        }
        return exchange.close()
    }

    private fun ownerNode(request: SubmitRequest): NodeId? =
        state()
            .membership.partitions[request.program.partition]
            ?.record
            ?.ownerNode

    private fun ownerUnreachable(
        target: NodeId?,
        mayHaveRun: Boolean,
    ): Refusal =
        Refusal(
            outcome = if (mayHaveRun) RunOutcome.MAY_HAVE_RUN else RunOutcome.NOT_RUN,
            reason = RefusalReason.RECOVERING,
            message = if (target == null) "the program's partition has no owner" else "the program's owner can't be reached",
            retryAfterMillis = RETRY_AFTER_MILLIS,
            step = "forward",
            peer = target?.value,
        )

    private companion object {
        /** The owner itself ends calls at their deadline; a clock that runs ahead here must not cut off that answer. */
        const val DEADLINE_GRACE_MILLIS = 2_000L
        const val OWNER_CHECK_INTERVAL_MILLIS = 100L
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}

private const val FIRST_BACKOFF_MILLIS = 10L
private const val MAX_BACKOFF_DOUBLINGS = 5

private fun backoffMillis(retries: Int): Long {
    val ceiling = FIRST_BACKOFF_MILLIS shl minOf(retries, MAX_BACKOFF_DOUBLINGS)
    return ThreadLocalRandom.current().nextLong(ceiling / 2, ceiling + 1)
}

/** Text of a stored outcome, which has no stream and may be from another run than the text delivered before. */
private fun SubmitReply.textFrom(startByte: Long): SubmitReply.Text? {
    val bytes = ((this as? SubmitReply.Call)?.result as? CallResult.Answered)?.text?.toByteArray() ?: return null
    return if (startByte >= bytes.size) null else SubmitReply.Text(startByte, bytes.decodeToString(startByte.toInt(), bytes.size))
}

/**
 * Whether the refusal ends once the partition has its next owner. A retry is safe whatever the outcome, because a position
 * runs once.
 */
private fun SubmitReply.isRetryable(): Boolean {
    val refusal =
        when (this) {
            is SubmitReply.Refused -> refusal
            is SubmitReply.Call -> (result as? CallResult.Refused)?.refusal
            else -> null
        } ?: return false
    return refusal.reason in RETRYABLE_REASONS
}

private val RETRYABLE_REASONS = setOf(RefusalReason.NOT_OWNER, RefusalReason.RECOVERING, RefusalReason.SHUTTING_DOWN)
