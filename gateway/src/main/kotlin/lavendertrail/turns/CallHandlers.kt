package lavendertrail.turns

import io.grpc.MethodDescriptor
import io.grpc.StatusRuntimeException
import io.grpc.stub.ServerCallStreamObserver
import io.grpc.stub.StreamObserver
import java.io.ByteArrayInputStream

/** Handles one method with encoded messages; calls `reply` once, now or later, on the event loop. */
internal typealias CallHandler = (request: ByteArray, reply: (ByteArray) -> Unit) -> Unit

/** Returns the bare name of [method] with a handler that decodes the request and encodes the reply of [handle]. */
internal fun <Q : Any, R : Any> callHandler(
    method: MethodDescriptor<Q, R>,
    handle: (Q, (R) -> Unit) -> Unit,
): Pair<String, CallHandler> =
    method.bareMethodName.orEmpty() to { request, reply ->
        handle(method.parseRequest(ByteArrayInputStream(request))) { reply(method.streamResponse(it).readAllBytes()) }
    }

/**
 * Refuses requests that were sent by an older list of turn hosts than [knownList]: their quorums and copies need not meet those of
 * the newer list. The caller gets the newer list and repeats the request by it.
 */
internal class ListFence(
    private val methods: Set<String>,
    private val knownList: () -> TurnHostListing,
) {
    /** The reply to [request] if it is refused. */
    fun refusalOf(request: CallFrame): CallFrame? {
        if (request.method !in methods || request.listRevision == 0L) return null
        val listing = knownList()
        // A host that has read no list doesn't know whether it still belongs to the current one.
        if (listing.revision == 0L) return CallFrame(request.callId, request.method, ByteArray(0), CallOutcome.FAILED)
        if (request.listRevision >= listing.revision) return null
        return CallFrame(request.callId, request.method, listing.toBytes(), CallOutcome.NEWER_LIST)
    }

    companion object {
        /** Refuses nothing. */
        val NONE = ListFence(emptySet()) { TurnHostListing(emptyList(), 0) }
    }
}

/** Serves one session: applies [handlers] to the requests of a peer and ends once the peer has ended and no reply is pending. */
internal class ServedSession(
    private val handlers: Map<String, CallHandler>,
    private val fence: ListFence,
    private val sessions: OpenSessions,
    private val replies: ServerCallStreamObserver<CallFrame>,
) : StreamObserver<CallFrame> {
    private var pendingReplies = 0
    private var isEnded = false

    init {
        // Without a handler, a reply after the peer has left would throw.
        replies.setOnCancelHandler { sessions.remove(this) }
        sessions.add(this)
    }

    /** Sends [frame], which is not a reply. */
    fun push(frame: CallFrame) {
        if (!isEnded && !replies.isCancelled) replies.onNext(frame)
    }

    override fun onNext(request: CallFrame) {
        pendingReplies++
        val handler = handlers[request.method]
        if (handler == null) return send(request.failedReply())
        fence.refusalOf(request)?.let { return send(it) }
        try {
            handler(request.payload) { send(CallFrame(request.callId, request.method, it)) }
        } catch (_: StatusRuntimeException) {
            // The message could not be decoded; the caller logs the failed reply.
            send(request.failedReply())
        }
    }

    private fun CallFrame.failedReply() = CallFrame(callId, method, ByteArray(0), CallOutcome.FAILED)

    private fun send(reply: CallFrame) {
        pendingReplies--
        if (replies.isCancelled) return
        replies.onNext(reply)
        if (isEnded && pendingReplies == 0) replies.onCompleted()
    }

    override fun onCompleted() {
        isEnded = true
        sessions.remove(this)
        if (pendingReplies == 0 && !replies.isCancelled) replies.onCompleted()
    }

    override fun onError(error: Throwable) {
        isEnded = true
        sessions.remove(this)
    }
}
