package lavendertrail.peer

import io.grpc.CallOptions
import io.grpc.StatusRuntimeException
import io.grpc.TlsChannelCredentials
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.grpc.stub.ClientCalls
import org.bouncycastle.asn1.x500.X500Name
import org.bouncycastle.asn1.x509.BasicConstraints
import org.bouncycastle.asn1.x509.Extension
import org.bouncycastle.asn1.x509.GeneralName
import org.bouncycastle.asn1.x509.GeneralNames
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder
import org.junit.jupiter.api.io.TempDir
import java.math.BigInteger
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.security.KeyPair
import java.security.KeyPairGenerator
import java.security.cert.X509Certificate
import java.time.Instant
import java.util.Base64
import java.util.Date
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** A certificate authority that writes signed node certificates and their keys as PEM files. */
private class TestAuthority(
    name: String,
) {
    private val keys = newKeys()
    private val subject = X500Name("CN=$name")
    private val certificate = sign(subject, keys, isAuthority = true)

    fun writeTo(
        folder: Path,
        address: String = "127.0.0.1",
        modifiedMillis: Long = 1_000_000,
    ): PeerSecurity {
        val nodeKeys = newKeys()
        val nodeCertificate = sign(X500Name("CN=node"), nodeKeys, isAuthority = false, address)
        val modified = FileTime.fromMillis(modifiedMillis)
        val files =
            listOf(
                pem(folder.resolve("node.pem"), "CERTIFICATE", nodeCertificate.encoded),
                pem(folder.resolve("node.key"), "PRIVATE KEY", nodeKeys.private.encoded),
                pem(folder.resolve("authority.pem"), "CERTIFICATE", certificate.encoded),
            )
        files.forEach { Files.setLastModifiedTime(it, modified) }
        return PeerSecurity(files[0], files[1], files[2], reloadMillis = 20)
    }

    private fun sign(
        name: X500Name,
        nameKeys: KeyPair,
        isAuthority: Boolean,
        address: String = "127.0.0.1",
    ): X509Certificate {
        val now = Instant.now()
        val serial = BigInteger.valueOf(now.toEpochMilli())
        val from = Date.from(now.minusSeconds(60))
        val builder = JcaX509v3CertificateBuilder(subject, serial, from, Date.from(now.plusSeconds(3_600)), name, nameKeys.public)
        builder.addExtension(Extension.basicConstraints, true, BasicConstraints(isAuthority))
        builder.addExtension(Extension.subjectAlternativeName, false, GeneralNames(GeneralName(GeneralName.iPAddress, address)))
        return JcaX509CertificateConverter().getCertificate(builder.build(JcaContentSignerBuilder("SHA256withECDSA").build(keys.private)))
    }

    private fun newKeys() = KeyPairGenerator.getInstance("EC").apply { initialize(256) }.generateKeyPair()

    private fun pem(
        path: Path,
        type: String,
        bytes: ByteArray,
    ): Path = Files.writeString(path, "-----BEGIN $type-----\n${Base64.getMimeEncoder().encodeToString(bytes)}\n-----END $type-----\n")
}

internal class PeerSecurityTest {
    @TempDir
    lateinit var folder: Path

    private fun newFolder(name: String) = Files.createDirectories(folder.resolve(name))

    private fun probe(
        server: PeerServer,
        security: PeerSecurity?,
    ) = peerClient("127.0.0.1:${server.port}", PeerLimits(probeTimeoutMillis = 4_000), security).use { it.probe(probeMessage) }

    private fun probeWithoutCertificate(
        server: PeerServer,
        security: PeerSecurity,
    ) {
        val credentials = TlsChannelCredentials.newBuilder().trustManager(security.authority.toFile()).build()
        val channel = NettyChannelBuilder.forAddress("127.0.0.1", server.port, credentials).build()
        try {
            ClientCalls.blockingUnaryCall(channel, PeerMethods(PeerTraffic()).probe, CallOptions.DEFAULT, probeMessage)
        } finally {
            channel.shutdownNow()
        }
    }

    /** Guards against unauthenticated clients that read programs or write to the journal. */
    @Test
    fun `only nodes with a certificate of the same authority are accepted`() {
        val authority = TestAuthority("one")
        val stranger = TestAuthority("other").writeTo(newFolder("stranger"))
        val known = authority.writeTo(newFolder("client"))
        peerServer("127.0.0.1", 0, FakePeerService(), authority.writeTo(newFolder("server"))).use { server ->
            assertEquals(probeMessage, probe(server, known))
            assertFailsWith<PeerException>("plaintext") { probe(server, null) }
            assertFailsWith<StatusRuntimeException>("no certificate") { probeWithoutCertificate(server, known) }
            assertFailsWith<PeerException>("certificate and trust of another authority") { probe(server, stranger) }
            val trusting = stranger.copy(authority = known.authority)
            assertFailsWith<PeerException>("certificate of another authority") { probe(server, trusting) }
        }
    }

    /** Guards against a node that impersonates another host. */
    @Test
    fun `a certificate for another address is rejected unless address verification is off`() {
        val authority = TestAuthority("one")
        val client = authority.writeTo(newFolder("client"))
        peerServer("127.0.0.1", 0, FakePeerService(), authority.writeTo(newFolder("server"), address = "192.0.2.1")).use { server ->
            assertFailsWith<PeerException> { probe(server, client) }
            assertEquals(probeMessage, probe(server, client.copy(verifyAddress = false)))
        }
    }

    /** Guards against having to restart all nodes whenever certificates are renewed. */
    @Test
    fun `renewed certificate files are used without a restart`() {
        val files = newFolder("server")
        val renewed = TestAuthority("renewed")
        val client = renewed.writeTo(newFolder("client"))
        peerServer("127.0.0.1", 0, FakePeerService(), TestAuthority("one").writeTo(files)).use { server ->
            assertFailsWith<PeerException> { probe(server, client) }
            renewed.writeTo(files, modifiedMillis = 2_000_000)
            Thread.sleep(500)
            assertEquals(probeMessage, probe(server, client))
        }
    }
}
