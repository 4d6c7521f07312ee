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
private const val CONNECT_MILLIS = 300
private const val KEEP_ALIVE_MILLIS = 10_000L
private const val KEEP_ALIVE_TIMEOUT_MILLIS = 2_000L

/** Far beyond a round trip with a disk's sync; a host that is cut off is passed over from then on. */
private const val SUSPECT_MILLIS = 250L

/**
 * After a restart of all hosts at once, all callers' requests meet processes whose classes aren't loaded yet. On the recorded
 * day inc-bf1b all entry hosts took all hosts with disks for lost then, and refused 90 turns.
 */
private const val NEW_SUSPECT_MILLIS = 1_000L

/** How long after its first answer a host is taken as new. */
private const val NEW_MILLIS = 2_000L

/** Calls to one host at [address]. Results arrive on the event loop. */
internal class TurnPeer(
    val address: String,
    private val loop: EventLoopGroup,
    private val resolve: (address: String) -> InetSocketAddress = ::socketAddress,
) : AutoCloseable {
    private var channel: ManagedChannel = newChannel()

    /** Calls in a row that got no answer in time. */
    private var failuresInRow = 0
    private var nextCall = 0L

    /** When each call under way was made, oldest first. */
    private val openCalls = LinkedHashMap<Long, Long>()

    private var firstAnswerMillis: Long? = null

    /** Whether the host has left its last calls without an answer. */
    val isSuspect: Boolean
        get() = failuresInRow > 0 || (openCalls.values.firstOrNull()?.let { nowMillis() - it > suspectMillis } ?: false)

    private val suspectMillis: Long
        get() {
            val answered = firstAnswerMillis
            return if (answered == null || nowMillis() - answered < NEW_MILLIS) NEW_SUSPECT_MILLIS else SUSPECT_MILLIS
        }

    fun <Q : Any, R : Any> call(
        method: MethodDescriptor<Q, R>,
        request: Q,
        limitMillis: Long,
        onResult: (Result<R, StepError>) -> Unit,
    ) {
        val used = channel
        val number = nextCall++
        openCalls[number] = nowMillis()
        val options = CallOptions.DEFAULT.withDeadlineAfter(limitMillis, TimeUnit.MILLISECONDS)
        ClientCalls.asyncUnaryCall(
            used.newCall(method, options),
            request,
            object : StreamObserver<R> {
                private var reply: R? = null

                override fun onNext(value: R) {
                    reply = value
                }

                override fun onError(error: Throwable) {
                    openCalls.remove(number)
                    failed(used, error)
                    onResult(Err(StepError(method.bareMethodName.orEmpty(), address, error.toString())))
                }

                override fun onCompleted() {
                    openCalls.remove(number)
                    failuresInRow = 0
                    firstAnswerMillis = firstAnswerMillis ?: nowMillis()
                    reply?.let { onResult(Ok(it)) }
                }
            },
        )
    }

    /** The result of a call, awaited on a thread other than [loop]'s. */
    fun <Q : Any, R : Any> await(
        loop: Executor,
        method: MethodDescriptor<Q, R>,
        request: Q,
        limitMillis: Long,
    ): Result<R, StepError> {
        val result = CompletableFuture<Result<R, StepError>>()
        loop.execute { call(method, request, limitMillis) { result.complete(it) } }
        // The call itself ends at its limit; the margin covers a busy event loop.
        return result.get(limitMillis * 2, TimeUnit.MILLISECONDS)
    }

    /** A connection may have gone silent while new ones work, so a call without an answer gets the next one a new connection. */
    private fun failed(
        used: ManagedChannel,
        error: Throwable,
    ) {
        failuresInRow++
        val code = Status.fromThrowable(error).code
        val isLost = code == Status.Code.UNAVAILABLE || code == Status.Code.DEADLINE_EXCEEDED
        if (!isLost || channel !== used) return
        channel = newChannel()
        // Calls under way on the old connection may still be answered.
        used.shutdown()
    }

    private fun newChannel(): ManagedChannel =
        NettyChannelBuilder
            .forAddress(resolve(address))
            .eventLoopGroup(loop)
            .channelType(NioSocketChannel::class.java)
            .directExecutor()
            .usePlaintext()
            .maxInboundMessageSize(MAX_MESSAGE_BYTES)
            .keepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .disableRetry()
            .build()

    override fun close() {
        channel.shutdownNow()
    }
}
