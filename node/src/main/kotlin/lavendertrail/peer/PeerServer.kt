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

private const val SHUTDOWN_GRACE_MILLIS = 500L

// Limits how long a connection made with a replaced certificate stays open. Running calls are not interrupted.
private const val MAX_TLS_CONNECTION_AGE_MINUTES = 60L

/** A running gRPC server. [close] rejects new calls, waits briefly for running ones and cancels the rest. */
public interface PeerServer : AutoCloseable {
    public val port: Int
    public val traffic: PeerTraffic
}

/**
 * Serves [service] to other nodes at [ip] and [port]; port 0 picks a free one. Without [security], only a loopback
 * address is accepted. Probes have their own threads, so that slow journal writes do not make a node look dead.
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
    val tls = security?.let { ReloadingTlsCredentials(it, Verification.CERTIFICATE_ONLY_VERIFICATION) }
    val pools = ServerPools(limits)
    val builder =
        NettyServerBuilder
            .forAddress(InetSocketAddress(ip, port), tls.serverCredentialsOrPlaintext())
            .maxInboundMessageSize(limits.maxMessageBytes)
            .flowControlWindow(limits.flowControlWindowBytes)
            .keepAliveTime(limits.keepAliveMillis, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(limits.keepAliveTimeoutMillis, TimeUnit.MILLISECONDS)
            .permitKeepAliveTime(limits.keepAliveMillis / 2, TimeUnit.MILLISECONDS)
            .permitKeepAliveWithoutCalls(true)
            .executor(pools.general)
            .callExecutor(pools)
            .addService(peerServiceDefinition(service, PeerMethods(traffic), pools.submits))
    if (tls != null) builder.maxConnectionAge(MAX_TLS_CONNECTION_AGE_MINUTES, TimeUnit.MINUTES)
    return RunningPeerServer(builder.build().start(), traffic, pools, tls)
}

private class RunningPeerServer(
    private val server: Server,
    override val traffic: PeerTraffic,
    private val pools: ServerPools,
    private val tls: ReloadingTlsCredentials?,
) : PeerServer {
    override val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(SHUTDOWN_GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
            server.shutdownNow().awaitTermination(SHUTDOWN_GRACE_MILLIS, TimeUnit.MILLISECONDS)
        }
        pools.close()
        tls?.close()
    }
}

/** Separate thread pools for probes, journal requests, streams and all other calls. */
private class ServerPools(
    limits: PeerLimits,
) : ServerCallExecutorSupplier,
    AutoCloseable {
    private val probes = boundedPool("peer-probe", PROBE_THREADS)
    private val journal = boundedPool("peer-journal", limits.journalThreads)
    val general = boundedPool("peer-call", GENERAL_THREADS)
    val submits: ExecutorService = streamPool("peer-submit", limits.maxSubmitStreams)

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

private fun peerServiceDefinition(
    service: PeerService,
    methods: PeerMethods,
    submits: ExecutorService,
): ServerServiceDefinition =
    ServerServiceDefinition
        .builder(SERVICE_NAME)
        .addMethod(methods.probe, unaryHandler(service::probe))
        .addMethod(methods.appendJournal, unaryHandler(service::appendJournal))
        .addMethod(methods.sealJournal, unaryHandler(service::sealJournal))
        .addMethod(methods.readJournal, unaryHandler(service::readJournal))
        .addMethod(methods.reclaimJournal, unaryHandler(service::reclaimJournal))
        .addMethod(methods.fetchConfig, unaryHandler { service.fetchConfig(it.afterRevision) })
        .addMethod(
            methods.offerHandover,
            unaryHandler {
                service.offerHandover(it.from, it.partitions)
                Empty()
            },
        ).addMethod(methods.dump, unaryHandler { DumpReply(service.dump()) })
        .addMethod(methods.submit, submitHandler(service, submits))
        .build()

private fun <Q : Any, R : Any> unaryHandler(handler: (Q) -> R) =
    ServerCalls.asyncUnaryCall { request: Q, observer: StreamObserver<R> ->
        // A request that was queued past its deadline is dropped, since its sender no longer waits for the answer.
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

/** Converts this exception to a status whose description tells the calling node the cause. */
internal fun Exception.toStatus(): StatusRuntimeException {
    if (this is StatusRuntimeException) return this
    Logger.warn(this) { "peer: failed to handle a request" }
    return Status.INTERNAL
        .withDescription(toString())
        .withCause(this)
        .asRuntimeException()
}
