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
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.net.InetAddress
import java.nio.file.Files
import java.nio.file.Path
import java.security.GeneralSecurityException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * PEM files for mutual TLS: this node's certificate chain, its PKCS#8 key, and the authority that signs all nodes'.
 * The files are read again when one has changed; connections made from then on use the new ones. With [verifyAddress] a peer's certificate must name the address that is connected to.
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
    private val security: PeerSecurity,
    verification: Verification,
) : AutoCloseable {
    private val keyManager = AdvancedTlsX509KeyManager()
    private val trustManager = AdvancedTlsX509TrustManager.newBuilder().setVerification(verification).build()
    private val reloader = Executors.newSingleThreadScheduledExecutor { Thread(it, "peer-tls-reload").apply { isDaemon = true } }
    private var seen = stamp()
    private var loaded = seen

    init {
        load()
        reloader.scheduleWithFixedDelay(::reload, security.reloadMillis, security.reloadMillis, TimeUnit.MILLISECONDS)
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
        reloader.shutdownNow()
    }

    /** Waits until the files have been the same twice, so that a new certificate is not used with the old key. */
    private fun reload() {
        val before = seen
        try {
            seen = stamp()
            if (seen == loaded || seen != before) return
            load()
            loaded = seen
            Logger.info { "peer: certificates were reloaded from ${security.certificate}" }
        } catch (e: IOException) {
            Logger.warn { "peer: certificates can't be reloaded: ${e.message}" }
        } catch (e: GeneralSecurityException) {
            Logger.warn { "peer: certificates can't be reloaded: ${e.message}" }
        } catch (e: IllegalArgumentException) {
            Logger.warn { "peer: certificates can't be reloaded: ${e.message}" }
        }
    }

    private fun load() {
        keyManager.updateIdentityCredentials(security.certificate.toFile(), security.privateKey.toFile())
        trustManager.updateTrustCredentials(security.authority.toFile())
    }

    private fun stamp() =
        listOf(security.certificate, security.privateKey, security.authority).map {
            Files.getLastModifiedTime(it) to
                Files.size(it)
        }
}

internal fun TlsFiles?.serverCredentialsOrPlain(): ServerCredentials = this?.serverCredentials() ?: InsecureServerCredentials.create()

internal fun TlsFiles?.channelCredentialsOrPlain(): ChannelCredentials = this?.channelCredentials() ?: InsecureChannelCredentials.create()

/** Plain text leaves programs and prompts readable and lets anyone write to the journal, so it never leaves the host. */
internal fun requireLoopback(ip: String) {
    require(InetAddress.getByName(ip).isLoopbackAddress) { "plain text between nodes is allowed on loopback only, address was '$ip'" }
}
