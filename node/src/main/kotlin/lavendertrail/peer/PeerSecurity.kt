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
 * PEM files for mutual TLS: this node's certificate chain, its PKCS#8 key, and the certificate of the authority that signs
 * the certificates of all nodes. Changed files are reloaded and used for new connections. With [verifyAddress], a client
 * requires that the peer's certificate names the address that it connects to.
 */
public data class PeerSecurity(
    public val certificate: Path,
    public val privateKey: Path,
    public val authority: Path,
    public val reloadMillis: Long = 10_000,
    public val verifyAddress: Boolean = true,
)

/** TLS credentials from the files of a [PeerSecurity], reloaded when the files change, until closed. */
internal class ReloadingTlsCredentials(
    private val security: PeerSecurity,
    verification: Verification,
) : AutoCloseable {
    private val keyManager = AdvancedTlsX509KeyManager()
    private val trustManager = AdvancedTlsX509TrustManager.newBuilder().setVerification(verification).build()
    private val reloader = Executors.newSingleThreadScheduledExecutor { Thread(it, "peer-tls-reload").apply { isDaemon = true } }
    private var fileState = readFileState()
    private var loadedState = fileState

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

    /** Loads changed files once two successive checks saw the same state, so that a new certificate is not used with the old key. */
    private fun reload() {
        val previousState = fileState
        try {
            fileState = readFileState()
            if (fileState == loadedState || fileState != previousState) return
            load()
            loadedState = fileState
            Logger.info { "peer: reloaded certificates from ${security.certificate}" }
        } catch (e: IOException) {
            Logger.warn { "peer: failed to reload certificates from ${security.certificate}: ${e.message}" }
        } catch (e: GeneralSecurityException) {
            Logger.warn { "peer: failed to reload certificates from ${security.certificate}: ${e.message}" }
        } catch (e: IllegalArgumentException) {
            Logger.warn { "peer: failed to reload certificates from ${security.certificate}: ${e.message}" }
        }
    }

    private fun load() {
        keyManager.updateIdentityCredentials(security.certificate.toFile(), security.privateKey.toFile())
        trustManager.updateTrustCredentials(security.authority.toFile())
    }

    /** Modification time and size of each file. */
    private fun readFileState() =
        listOf(security.certificate, security.privateKey, security.authority).map {
            Files.getLastModifiedTime(it) to
                Files.size(it)
        }
}

internal fun ReloadingTlsCredentials?.serverCredentialsOrPlaintext(): ServerCredentials =
    this?.serverCredentials() ?: InsecureServerCredentials.create()

internal fun ReloadingTlsCredentials?.channelCredentialsOrPlaintext(): ChannelCredentials =
    this?.channelCredentials() ?: InsecureChannelCredentials.create()

/** Plaintext lets anyone on the network read programs and prompts and write to the journal, so it is limited to loopback. */
internal fun requireLoopback(ip: String) {
    require(InetAddress.getByName(ip).isLoopbackAddress) { "plaintext between nodes is allowed on loopback only, address was '$ip'" }
}
