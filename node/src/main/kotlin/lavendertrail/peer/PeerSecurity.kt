package lavendertrail.peer

import io.grpc.ChannelCredentials
import io.grpc.InsecureChannelCredentials
import io.grpc.InsecureServerCredentials
import io.grpc.ServerCredentials
import io.grpc.TlsChannelCredentials
import io.grpc.TlsServerCredentials
import io.grpc.util.AdvancedTlsX509KeyManager
import io.grpc.util.AdvancedTlsX509TrustManager
import io.grpc.util.AdvancedTlsX509TrustManager.Verification
import java.io.Closeable
import java.net.InetAddress
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * PEM files for mutual TLS: this node's certificate chain, its PKCS#8 key, and the authority that signs all nodes'.
 * The files are read again when certificate and key, or the authority, have changed; connections made from then on
 * use the new ones. With [verifyAddress] a peer's certificate must name the address that is connected to.
 */
public data class PeerSecurity(
    public val certificate: Path,
    public val privateKey: Path,
    public val authority: Path,
    public val reloadMillis: Long = 10_000,
    public val verifyAddress: Boolean = true,
)

/** Key and trust managers that follow the files of a [PeerSecurity] until closed. */
internal class TlsFiles(
    security: PeerSecurity,
    verification: Verification,
) : AutoCloseable {
    private val reloader: ScheduledExecutorService =
        Executors.newSingleThreadScheduledExecutor { Thread(it, "peer-tls-reload").apply { isDaemon = true } }
    private val watches = mutableListOf<Closeable>()
    val keyManager = AdvancedTlsX509KeyManager()
    val trustManager: AdvancedTlsX509TrustManager = AdvancedTlsX509TrustManager.newBuilder().setVerification(verification).build()

    init {
        val certificate = security.certificate.toFile()
        val key = security.privateKey.toFile()
        watches += keyManager.updateIdentityCredentials(certificate, key, security.reloadMillis, TimeUnit.MILLISECONDS, reloader)
        watches +=
            trustManager.updateTrustCredentials(security.authority.toFile(), security.reloadMillis, TimeUnit.MILLISECONDS, reloader)
    }

    fun serverCredentials(): ServerCredentials =
        TlsServerCredentials
            .newBuilder()
            .keyManager(keyManager)
            .trustManager(trustManager)
            .clientAuth(TlsServerCredentials.ClientAuth.REQUIRE)
            .build()

    fun channelCredentials(): ChannelCredentials =
        TlsChannelCredentials
            .newBuilder()
            .keyManager(keyManager)
            .trustManager(trustManager)
            .build()

    override fun close() {
        watches.forEach { it.close() }
        reloader.shutdownNow()
    }
}

internal fun TlsFiles?.serverCredentialsOrPlain(): ServerCredentials = this?.serverCredentials() ?: InsecureServerCredentials.create()

internal fun TlsFiles?.channelCredentialsOrPlain(): ChannelCredentials = this?.channelCredentials() ?: InsecureChannelCredentials.create()

/** Plain text leaves programs and prompts readable and lets anyone write to the journal, so it never leaves the host. */
internal fun requireLoopback(ip: String) {
    require(InetAddress.getByName(ip).isLoopbackAddress) { "plain text between nodes is allowed on loopback only, address was '$ip'" }
}
