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

/** A [PeerService] at another node. Failed calls throw [PeerException]. */
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
    private val tls = security?.let { TlsFiles(it, it.verification()) }
    private val current = AtomicReference(newChannel())

    override fun probe(message: ProbeMessage) = unary(methods.probe, message, limits.probeTimeoutMillis)

    override fun appendJournal(request: JournalAppend) = unary(methods.appendJournal, request, limits.journalMillis)

    override fun sealJournal(request: JournalSeal) = unary(methods.sealJournal, request, limits.journalMillis)

    override fun readJournal(request: JournalRead) = unary(methods.readJournal, request, limits.journalMillis)

    override fun reclaimJournal(request: JournalReclaim) = unary(methods.reclaimJournal, request, limits.journalMillis)

    override fun fetchConfig(afterRevision: Long) = unary(methods.fetchConfig, ConfigRequest(afterRevision), limits.configMillis)

    override fun offerHandover(
        from: NodeId,
        partitions: List<PartitionId>,
    ) {
        unary(methods.offerHandover, HandoverRequest(from, partitions), limits.handoverMillis)
    }

    override fun dump(): String = unary(methods.dump, Empty(), limits.dumpMillis).json

    override fun submit(
        request: SubmitRequest,
        onReply: (SubmitReply) -> Unit,
    ) = traffic.counter("Submit").timed {
        val channel = current.get()
        val context =
            io.grpc.Context
                .current()
                .withCancellation()
        val previous = context.attach()
        try {
            // The blocking iterator asks for one reply at a time, so a slow reader slows the sender down.
            val replies = ClientCalls.blockingServerStreamingCall(channel, methods.submit, options(limits.submitMillis), request)
            for (reply in replies) onReply(reply)
        } catch (e: StatusRuntimeException) {
            if (e.isConnectionFailure()) replace(channel)
            throw e.toPeerException(methods.submit)
        } finally {
            context.detach(previous)
            context.cancel(null)
        }
    }

    override fun close() {
        current.get().shutdownNow()
        tls?.close()
    }

    private fun <Q : Any, R : Any> unary(
        method: MethodDescriptor<Q, R>,
        request: Q,
        limitMillis: Long,
    ): R =
        traffic.counter(method.bareMethodName.orEmpty()).timed {
            val channel = current.get()
            val started = System.nanoTime()
            try {
                call(channel, method, request, limitMillis / 2)
            } catch (e: StatusRuntimeException) {
                if (!e.isConnectionFailure()) throw e.toPeerException(method)
                val usedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started)
                callAgain(replace(channel), method, request, limitMillis - usedMillis)
            }
        }

    private fun <Q : Any, R : Any> callAgain(
        channel: Channel,
        method: MethodDescriptor<Q, R>,
        request: Q,
        limitMillis: Long,
    ): R =
        try {
            call(channel, method, request, limitMillis)
        } catch (e: StatusRuntimeException) {
            throw e.toPeerException(method)
        }

    private fun <Q : Any, R : Any> call(
        channel: Channel,
        method: MethodDescriptor<Q, R>,
        request: Q,
        limitMillis: Long,
    ): R = ClientCalls.blockingUnaryCall(channel, method, options(limitMillis), request)

    private fun options(limitMillis: Long) = CallOptions.DEFAULT.withDeadlineAfter(limitMillis, TimeUnit.MILLISECONDS)

    /** Calls that failed together on one channel share its one replacement. */
    private fun replace(failed: ManagedChannel): ManagedChannel {
        val fresh = newChannel()
        if (current.compareAndSet(failed, fresh)) {
            failed.shutdown()
            return fresh
        }
        fresh.shutdownNow()
        return current.get()
    }

    private fun newChannel(): ManagedChannel =
        NettyChannelBuilder
            .forAddress(socketAddress, tls.channelCredentialsOrPlain())
            .maxInboundMessageSize(limits.maxMessageBytes)
            .flowControlWindow(limits.flowControlWindowBytes)
            .keepAliveTime(limits.keepAliveMillis, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(limits.keepAliveTimeoutMillis, TimeUnit.MILLISECONDS)
            .keepAliveWithoutCalls(true)
            .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectMillis)
            .disableRetry()
            .build()

    private fun StatusRuntimeException.toPeerException(method: MethodDescriptor<*, *>): PeerException {
        val text = listOfNotNull(status.code.name, status.description).joinToString(": ")
        return PeerException(StepError(method.bareMethodName.orEmpty(), address, text), this)
    }
}

private fun PeerSecurity.verification() =
    if (verifyAddress) Verification.CERTIFICATE_AND_HOST_NAME_VERIFICATION else Verification.CERTIFICATE_ONLY_VERIFICATION

private fun StatusRuntimeException.isConnectionFailure() =
    status.code == Status.Code.UNAVAILABLE || status.code == Status.Code.DEADLINE_EXCEEDED
