package lavendertrail.peer

import io.grpc.Metadata
import io.grpc.Server
import io.grpc.ServerCall
import io.grpc.ServerCallExecutorSupplier
import io.grpc.ServerServiceDefinition
import io.grpc.Status
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.ServerCalls
import io.grpc.stub.StreamObserver
import io.grpc.util.AdvancedTlsX509TrustManager.Verification
import org.tinylog.kotlin.Logger
import java.net.InetSocketAddress
import java.util.concurrent.Executor
import java.util.concurrent.ExecutorService
import java.util.concurrent.TimeUnit

private const val STOP_GRACE_MILLIS = 500L

// Bounds how long a connection made with a replaced certificate lives on; running calls are not cut.
private const val MAX_TLS_CONNECTION_AGE_MINUTES = 60L

/** A running gRPC server. [close] refuses new calls, waits briefly for running ones and cancels the rest. */
public interface PeerServer : AutoCloseable {
    public val port: Int
    public val traffic: PeerTraffic
}

/**
 * Serves [service] to other nodes at [ip] and [port]; port 0 takes a free one. Without [security] only a loopback
 * address is accepted. Probes have threads of their own, so that slow journal writes don't make a node look dead.
 */
public fun peerServer(
    ip: String,
    port: Int,
    service: PeerService,
    security: PeerSecurity? = null,
    limits: PeerLimits = PeerLimits(),
    traffic: PeerTraffic = PeerTraffic(),
): PeerServer {
    if (security == null) requireLoopback(ip)
    val tls = security?.let { TlsFiles(it, Verification.CERTIFICATE_ONLY_VERIFICATION) }
    val pools = ServerPools(limits)
    val builder =
        NettyServerBuilder
            .forAddress(InetSocketAddress(ip, port), tls.serverCredentialsOrPlain())
            .maxInboundMessageSize(limits.maxMessageBytes)
            .flowControlWindow(limits.flowControlWindowBytes)
            .keepAliveTime(limits.keepAliveMillis, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(limits.keepAliveTimeoutMillis, TimeUnit.MILLISECONDS)
            .permitKeepAliveTime(limits.keepAliveMillis / 2, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .executor(pools.general)
            .callExecutor(pools)
            .addService(peerDefinition(service, PeerMethods(traffic), pools.submits))
    if (tls != null) builder.maxConnectionAge(MAX_TLS_CONNECTION_AGE_MINUTES, TimeUnit.MINUTES)
    return RunningPeerServer(builder.build().start(), traffic, pools, tls)
}

private class RunningPeerServer(
    private val server: Server,
    override val traffic: PeerTraffic,
    private val pools: ServerPools,
    private val tls: TlsFiles?,
) : PeerServer {
    override val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(STOP_GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
            server.shutdownNow().awaitTermination(STOP_GRACE_MILLIS, TimeUnit.MILLISECONDS)
        }
        pools.close()
        tls?.close()
    }
}

/** Separate threads for probes, journal requests, streams and the rest. */
private class ServerPools(
    limits: PeerLimits,
) : ServerCallExecutorSupplier,
    AutoCloseable {
    private val probes = boundedPool("peer-probe", PROBE_THREADS)
    private val journal = boundedPool("peer-journal", limits.journalThreads)
    val general = boundedPool("peer-call", GENERAL_THREADS)
    val submits: ExecutorService = streamPool("peer-submit", limits.maxSubmits)

    override fun <Q : Any?, R : Any?> getExecutor(
        call: ServerCall<Q, R>,
        metadata: Metadata,
    ): Executor {
        val name = call.methodDescriptor.bareMethodName.orEmpty()
        return when {
            name == "Probe" -> probes
            name.startsWith("Journal") -> journal
            else -> general
        }
    }

    override fun close() {
        listOf(probes, journal, general, submits).forEach { it.shutdownNow() }
    }

    private companion object {
        const val PROBE_THREADS = 2
        const val GENERAL_THREADS = 8
    }
}

private fun peerDefinition(
    service: PeerService,
    methods: PeerMethods,
    submits: ExecutorService,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder(SERVICE_NAME)
        .addMethod(methods.probe, answering(service::probe))
        .addMethod(methods.appendJournal, answering(service::appendJournal))
        .addMethod(methods.sealJournal, answering(service::sealJournal))
        .addMethod(methods.readJournal, answering(service::readJournal))
        .addMethod(methods.reclaimJournal, answering(service::reclaimJournal))
        .addMethod(methods.fetchConfig, answering { service.fetchConfig(it.afterRevision) })
        .addMethod(
            methods.offerHandover,
            answering {
                service.offerHandover(it.from, it.partitions)
                Empty()
            },
        ).addMethod(methods.dump, answering { DumpReply(service.dump()) })
        .addMethod(methods.submit, submitHandler(service, submits))
        .build()

private fun <Q : Any, R : Any> answering(handler: (Q) -> R) =
    ServerCalls.asyncUnaryCall { request: Q, observer: StreamObserver<R> ->
        // A request that waited past its deadline is dropped: its sender has already repeated it elsewhere.
        if (io.grpc.Context
                .current()
                .isCancelled
        ) {
            return@asyncUnaryCall
        }
        val answer =
            try {
                handler(request)
            } catch (e: Exception) {
                observer.onError(e.toStatus())
                return@asyncUnaryCall
            }
        observer.onNext(answer)
        observer.onCompleted()
    }

/** The status that tells the calling node what went wrong here. */
internal fun Exception.toStatus(): StatusRuntimeException {
    if (this is StatusRuntimeException) return this
    Logger.warn(this) { "peer: request failed" }
    return Status.INTERNAL
        .withDescription(toString())
        .withCause(this)
        .asRuntimeException()
}
