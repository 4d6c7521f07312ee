package lavendertrail.peer

import io.grpc.CallOptions
import io.grpc.Channel
import io.grpc.ManagedChannel
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.netty.shaded.io.netty.channel.ChannelOption
import io.grpc.stub.ClientCalls
import io.grpc.util.AdvancedTlsX509TrustManager.Verification
import lavendertrail.journal.JournalAppend
import lavendertrail.journal.JournalRead
import lavendertrail.journal.JournalReclaim
import lavendertrail.journal.JournalSeal
import lavendertrail.membership.ProbeMessage
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.StepError
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/** Client of the [PeerService] at another node. Failed calls throw [PeerException]. */
public interface PeerClient :
    PeerService,
    AutoCloseable {
    public val traffic: PeerTraffic
}

/**
 * Connects to the node at [address], which is an IP address and port such as `10.1.4.7:7400`, on first use. Without
 * [security] only a loopback address is accepted.
 */
public fun peerClient(
    address: String,
    limits: PeerLimits = PeerLimits(),
    security: PeerSecurity? = null,
    traffic: PeerTraffic = PeerTraffic(),
): PeerClient {
    val ip = address.substringBeforeLast(':').removeSurrounding("[", "]")
    val port = address.substringAfterLast(':').toIntOrNull()
    require(port != null && ':' in address) { "peer address must look like '10.1.4.7:7400', was '$address'" }
    if (security == null) requireLoopback(ip)
    return GrpcPeerClient(address, InetSocketAddress(ip, port), limits, security, traffic)
}

private class GrpcPeerClient(
    private val address: String,
    private val socketAddress: InetSocketAddress,
    private val limits: PeerLimits,
    security: PeerSecurity?,
    override val traffic: PeerTraffic,
) : PeerClient {
    private val methods = PeerMethods(traffic)
    private val tls = security?.let { ReloadingTlsCredentials(it, it.verificationMode()) }
    private val currentChannel = AtomicReference(newChannel())

    override fun probe(message: ProbeMessage) = unary(methods.probe, message, limits.probeTimeoutMillis)

    override fun appendJournal(request: JournalAppend) = unary(methods.appendJournal, request, limits.journalTimeoutMillis)

    override fun sealJournal(request: JournalSeal) = unary(methods.sealJournal, request, limits.journalTimeoutMillis)

    override fun readJournal(request: JournalRead) = unary(methods.readJournal, request, limits.journalTimeoutMillis)

    override fun reclaimJournal(request: JournalReclaim) = unary(methods.reclaimJournal, request, limits.journalTimeoutMillis)

    override fun fetchConfig(afterRevision: Long) = unary(methods.fetchConfig, ConfigRequest(afterRevision), limits.configTimeoutMillis)

    override fun offerHandover(
        from: NodeId,
        partitions: List<PartitionId>,
    ) {
        unary(methods.offerHandover, HandoverRequest(from, partitions), limits.handoverTimeoutMillis)
    }

    override fun dump(): String = unary(methods.dump, Empty(), limits.dumpTimeoutMillis).json

    override fun submit(
        request: SubmitRequest,
        onReply: (SubmitReply) -> Unit,
    ) = traffic.counter("Submit").record {
        val channel = currentChannel.get()
        val context =
            io.grpc.Context
                .current()
                .withCancellation()
        val previous = context.attach()
        try {
            // The blocking iterator requests one reply at a time, so a slow reader applies backpressure to the sender.
            val replies = ClientCalls.blockingServerStreamingCall(channel, methods.submit, callOptions(limits.submitTimeoutMillis), request)
            for (reply in replies) onReply(reply)
        } catch (e: StatusRuntimeException) {
            if (e.isConnectionFailure()) replaceChannel(channel)
            throw e.toPeerException(methods.submit)
        } finally {
            context.detach(previous)
            context.cancel(null)
        }
    }

    override fun close() {
        currentChannel.get().shutdownNow()
        tls?.close()
    }

    private fun <Q : Any, R : Any> unary(
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
    ): R =
        traffic.counter(method.bareMethodName.orEmpty()).record {
            val channel = currentChannel.get()
            val started = System.nanoTime()
            try {
                call(channel, method, request, timeoutMillis / 2)
            } catch (e: StatusRuntimeException) {
                if (!e.isConnectionFailure()) throw e.toPeerException(method)
                val elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started)
                retryCall(replaceChannel(channel), method, request, timeoutMillis - elapsedMillis)
            }
        }

    private fun <Q : Any, R : Any> retryCall(
        channel: Channel,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
    ): R =
        try {
            call(channel, method, request, timeoutMillis)
        } catch (e: StatusRuntimeException) {
            throw e.toPeerException(method)
        }

    private fun <Q : Any, R : Any> call(
        channel: Channel,
        method: MethodDescriptor<Q, R>,
        request: Q,
        timeoutMillis: Long,
    ): R = ClientCalls.blockingUnaryCall(channel, method, callOptions(timeoutMillis), request)

    private fun callOptions(timeoutMillis: Long) = CallOptions.DEFAULT.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)

    /** Replaces [failed] once: concurrent calls that failed on the same channel share the new one. */
    private fun replaceChannel(failed: ManagedChannel): ManagedChannel {
        val replacement = newChannel()
        if (currentChannel.compareAndSet(failed, replacement)) {
            failed.shutdown()
            return replacement
        }
        replacement.shutdownNow()
        return currentChannel.get()
    }

    private fun newChannel(): ManagedChannel =
        NettyChannelBuilder
            .forAddress(socketAddress, tls.channelCredentialsOrPlaintext())
            .maxInboundMessageSize(limits.maxMessageBytes)
            .flowControlWindow(limits.flowControlWindowBytes)
            .keepAliveTime(limits.keepAliveMillis, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(limits.keepAliveTimeoutMillis, TimeUnit.MILLISECONDS)
            .keepAliveWithoutCalls(true)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis)
            .disableRetry()
            .build()

    private fun StatusRuntimeException.toPeerException(method: MethodDescriptor<*, *>): PeerException {
        val text = listOfNotNull(status.code.name, status.description).joinToString(": ")
        return PeerException(StepError(method.bareMethodName.orEmpty(), address, text), this)
    }
}

private fun PeerSecurity.verificationMode() =
    if (verifyAddress) Verification.CERTIFICATE_AND_HOST_NAME_VERIFICATION else Verification.CERTIFICATE_ONLY_VERIFICATION

private fun StatusRuntimeException.isConnectionFailure() =
    status.code == Status.Code.UNAVAILABLE || status.code == Status.Code.DEADLINE_EXCEEDED
