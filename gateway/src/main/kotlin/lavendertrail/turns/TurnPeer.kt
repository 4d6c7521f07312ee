package lavendertrail.turns

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.grpc.CallOptions
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.ClientCalls
import io.grpc.stub.StreamObserver
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import lavendertrail.gateway.nowMillis
import lavendertrail.gateway.socketAddress
import lavendertrail.model.StepError
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

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
) : AutoCloseable {
    private var channel: ManagedChannel = newChannel()

    /** Number of failed calls since the last successful one. */
    private var consecutiveFailures = 0
    private var nextCallNumber = 0L

    /** Start time of each pending call by call number, oldest first. */
    private val callStartMillis = LinkedHashMap<Long, Long>()

    private var firstReplyMillis: Long? = null

    /** Whether the last call failed or the oldest pending call has been waiting for too long. */
    val isUnresponsive: Boolean
        get() =
            consecutiveFailures > 0 ||
                (callStartMillis.values.firstOrNull()?.let { nowMillis() - it > unresponsiveAfterMillis } ?: false)

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
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        val callChannel = channel
        val number = nextCallNumber++
        callStartMillis[number] = nowMillis()
        val options = CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)
        ClientCalls.asyncUnaryCall(
            callChannel.newCall(method, options),
            request,
            object : StreamObserver<R> {
                private var reply: R? = null

                override fun onNext(value: R) {
                    reply = value
                }

                override fun onError(error: Throwable) {
                    callStartMillis.remove(number)
                    recordFailure(callChannel, error)
                    onResult(Err(StepError(method.bareMethodName.orEmpty(), address, error.toString())))
                }

                override fun onCompleted() {
                    callStartMillis.remove(number)
                    consecutiveFailures = 0
                    firstReplyMillis = firstReplyMillis ?: nowMillis()
                    reply?.let { onResult(Ok(it)) }
                }
            },
        )
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
        return result.get(timeoutMillis * 2, TimeUnit.MILLISECONDS)
    }

    /** Replaces the connection after a call that got no reply, since a connection may be dead while new ones would work. */
    private fun recordFailure(
        callChannel: ManagedChannel,
        error: Throwable,
    ) {
        consecutiveFailures++
        val code = Status.fromThrowable(error).code
        val mayBeDead = code == Status.Code.UNAVAILABLE || code == Status.Code.DEADLINE_EXCEEDED
        if (!mayBeDead || channel !== callChannel) return
        channel = newChannel()
        // Pending calls on the old connection may still complete.
        callChannel.shutdown()
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
        channel.shutdownNow()
    }
}
