package lavendertrail.turns

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.grpc.CallOptions
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.ClientCalls
import io.grpc.stub.StreamObserver
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import lavendertrail.gateway.nowMillis
import lavendertrail.gateway.socketAddress
import lavendertrail.model.StepError
import java.io.ByteArrayInputStream
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private const val MAX_MESSAGE_BYTES = 16 * 1024 * 1024
private const val CONNECT_TIMEOUT_MILLIS = 300
private const val KEEP_ALIVE_MILLIS = 10_000L
private const val KEEP_ALIVE_TIMEOUT_MILLIS = 2_000L

/** Well above a round trip that includes a disk sync. A host with an older pending call is considered unresponsive. */
private const val UNRESPONSIVE_AFTER_MILLIS = 250L

/**
 * Replaces [UNRESPONSIVE_AFTER_MILLIS] for newly started hosts. After a simultaneous restart of all hosts, requests arrive before
 * the processes have loaded their classes; with the shorter limit, all entry hosts considered all turn hosts lost and refused 90
 * turns (recorded day inc-bf1b).
 */
private const val STARTUP_UNRESPONSIVE_AFTER_MILLIS = 1_000L

/** How long a host is considered newly started after its first reply. */
private const val STARTUP_MILLIS = 2_000L

/** gRPC client for the host at [address]. Results are delivered on the event loop. */
internal class TurnPeer(
    val address: String,
    private val loop: EventLoopGroup,
    private val resolveAddress: (address: String) -> InetSocketAddress = ::socketAddress,
    /** The revision of the list by which calls are made; 0 for calls that don't depend on one. */
    private val listRevision: () -> Long = { 0 },
    /** Gets the list of a host that has a newer one and therefore didn't handle a call. */
    private val onNewerList: (TurnHostListing) -> Unit = {},
    /** Gets the messages that the host sends without a request. */
    private val onPushed: (CallFrame) -> Unit = {},
) : AutoCloseable {
    /** Carries all calls; null before the first call and after a failure. */
    private var session: Session? = null

    /** Number of failed calls since the last successful one. */
    private var consecutiveFailures = 0
    private var nextCallNumber = 0L
    private var isClosed = false

    /** Start time of each pending call by call number, oldest first. */
    private val callStartMillis = LinkedHashMap<Long, Long>()

    private var firstReplyMillis: Long? = null

    /** Whether the last call failed or the oldest pending call has been waiting for too long. */
    val isUnresponsive: Boolean
        get() =
            consecutiveFailures > 0 ||
                (callStartMillis.values.firstOrNull()?.let { nowMillis() - it > unresponsiveAfterMillis } ?: false)

    /** Identifies the open connection; null if there is none. Messages that the host sends without a request end with it. */
    val connection: Any? get() = session

    private val unresponsiveAfterMillis: Long
        get() {
            val firstReply = firstReplyMillis
            val isStarting = firstReply == null || nowMillis() - firstReply < STARTUP_MILLIS
            return if (isStarting) STARTUP_UNRESPONSIVE_AFTER_MILLIS else UNRESPONSIVE_AFTER_MILLIS
        }

    fun <Q : Any, R : Any> call(
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
        listRevision: Long = this.listRevision(),
        onNewerList: (TurnHostListing) -> Unit = this.onNewerList,
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        val name = method.bareMethodName.orEmpty()
        val number = nextCallNumber++
        val frame = CallFrame(number, name, method.streamRequest(request).readAllBytes(), listRevision = listRevision)
        var callSession = currentSession()
        callStartMillis[number] = nowMillis()
        val timeout = loop.schedule({ callSession.fail(number, timeoutError(timeoutMillis)) }, timeoutMillis, TimeUnit.MILLISECONDS)

        fun finish(result: Result<CallFrame, Throwable>) {
            timeout.cancel(false)
            callStartMillis.remove(number)
            onResult(result.fold({ decodeReply(method, it, onNewerList) }, { Err(StepError(name, address, it.toString())) }))
        }
        callSession.send(frame) { result ->
            if (result.getError() is ConnectionLost && !isClosed) {
                // All calls may be repeated, and a connection that worked may have been reset while the host is well.
                callSession = currentSession()
                callSession.send(frame, ::finish)
            } else {
                finish(result)
            }
        }
    }

    private fun currentSession(): Session = session ?: Session().also { session = it }

    /** A connection that had carried replies has ended. */
    private class ConnectionLost(
        cause: Throwable,
    ) : Exception("connection lost: $cause", cause)

    private fun <Q : Any, R : Any> decodeReply(
        method: MethodDescriptor<Q, R>,
        frame: CallFrame,
        onNewerList: (TurnHostListing) -> Unit,
    ): Result<R, StepError> =
        try {
            when (frame.outcome) {
                CallOutcome.HANDLED -> Ok(method.parseResponse(ByteArrayInputStream(frame.payload)))
                CallOutcome.FAILED -> Err(StepError(frame.method, address, "the host did not handle the request"))
                CallOutcome.NEWER_LIST -> {
                    decodeListing(frame.payload)?.let(onNewerList)
                    Err(StepError(frame.method, address, "the host has a newer list of turn hosts"))
                }
            }
        } catch (e: StatusRuntimeException) {
            Err(StepError(frame.method, address, e.toString()))
        }

    private fun timeoutError(timeoutMillis: Long) =
        Status.DEADLINE_EXCEEDED.withDescription("no reply within $timeoutMillis ms").asRuntimeException()

    /** The calls on one connection. A session that is no longer current ends when its last call has ended. */
    private inner class Session : StreamObserver<CallFrame> {
        private val channel: ManagedChannel = newChannel()
        private val pendingCalls = LinkedHashMap<Long, (Result<CallFrame, Throwable>) -> Unit>()
        private var hasReplied = false
        private val requests = ClientCalls.asyncBidiStreamingCall(channel.newCall(TurnMethods.session, CallOptions.DEFAULT), this)

        fun send(
            frame: CallFrame,
            onReply: (Result<CallFrame, Throwable>) -> Unit,
        ) {
            pendingCalls[frame.callId] = onReply
            requests.onNext(frame)
        }

        override fun onNext(frame: CallFrame) {
            if (frame.callId == PUSHED_CALL_ID) return onPushed(frame)
            val onReply = pendingCalls.remove(frame.callId) ?: return
            hasReplied = true
            consecutiveFailures = 0
            firstReplyMillis = firstReplyMillis ?: nowMillis()
            closeIfUnused()
            onReply(Ok(frame))
        }

        /** Ends the call [number] with [error]. */
        fun fail(
            number: Long,
            error: Throwable,
        ) {
            val onReply = pendingCalls.remove(number) ?: return
            recordFailure(this)
            closeIfUnused()
            onReply(Err(error))
        }

        override fun onError(error: Throwable) {
            val failedCalls = pendingCalls.values.toList()
            pendingCalls.clear()
            if (hasReplied) replace(this) else recordFailure(this)
            closeIfUnused()
            val failure = if (hasReplied) ConnectionLost(error) else error
            failedCalls.forEach { it(Err(failure)) }
        }

        override fun onCompleted() = onError(Status.UNAVAILABLE.withDescription("session ended by the host").asRuntimeException())

        /** Pending calls on an old connection may still complete. */
        private fun closeIfUnused() {
            if (session !== this && pendingCalls.isEmpty()) close()
        }

        fun close() {
            channel.shutdownNow()
        }
    }

    /** Makes a call and waits for its result; must not be called on the thread of [loop]. */
    fun <Q : Any, R : Any> callBlocking(
        loop: Executor,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
    ): Result<R, StepError> {
        val result = CompletableFuture<Result<R, StepError>>()
        loop.execute { call(method, request, timeoutMillis) { result.complete(it) } }
        // The call itself ends at its timeout; the margin allows for a busy event loop.
        return try {
            result.get(timeoutMillis * 2, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            peerTimeout(method.bareMethodName.orEmpty(), address, timeoutMillis * 2)
        }
    }

    /** Replaces the connection after a call that got no reply, since a connection may be dead while new ones would work. */
    private fun recordFailure(failedSession: Session) {
        consecutiveFailures++
        replace(failedSession)
    }

    private fun replace(endedSession: Session) {
        if (session === endedSession) session = null
    }

    private fun newChannel(): ManagedChannel =
        NettyChannelBuilder
            .forAddress(resolveAddress(address))
            .eventLoopGroup(loop)
            .channelType(NioSocketChannel::class.java)
            .directExecutor()
            .usePlaintext()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .disableRetry()
            .build()

    override fun close() {
        isClosed = true
        session?.close()
    }
}

/** The error of a blocking call whose result didn't arrive, which happens when the process was suspended. */
internal fun peerTimeout(
    step: String,
    peer: String,
    timeoutMillis: Long,
) = Err(StepError(step, peer, "no result within $timeoutMillis ms"))
