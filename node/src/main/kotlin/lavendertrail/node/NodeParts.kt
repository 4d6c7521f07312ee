package lavendertrail.node

import lavendertrail.adapters.httpHostList
import lavendertrail.adapters.httpKeyValueService
import lavendertrail.adapters.httpModelEngine
import lavendertrail.adapters.httpToolService
import lavendertrail.adapters.httpWeightStore
import lavendertrail.api.errorBody
import lavendertrail.http.HttpServerLimits
import lavendertrail.peer.PeerSecurity
import lavendertrail.settings.ApiSettings
import lavendertrail.settings.PeerSettings
import lavendertrail.settings.PlatformSettings
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.security.KeyStore
import javax.net.ssl.KeyManagerFactory
import javax.net.ssl.SSLContext
import kotlin.io.path.inputStream
import kotlin.io.path.readText

/** The platform's services over HTTP. */
public fun httpPlatform(settings: PlatformSettings): Platform =
    Platform(
        keyValue = httpKeyValueService(settings.keyValueAddress),
        hostList = httpHostList(settings.hostListAddress),
        weightStore = httpWeightStore(settings.weightStoreAddress),
        engine = { httpModelEngine(it.server, it.address) },
        tool = { httpToolService(it.server, it.address) },
    )

internal fun PeerSettings.toSecurity(): PeerSecurity? {
    val certificate = certificateFile ?: return null
    return PeerSecurity(Path.of(certificate), Path.of(requireNotNull(keyFile)), Path.of(requireNotNull(authorityFile)))
}

internal fun ApiSettings.toLimits(): HttpServerLimits =
    HttpServerLimits(
        maxBodyBytes = maxBodyBytes,
        maxHeaderBytes = maxHeaderBytes,
        readTimeoutMillis = readTimeoutMillis,
        workerThreads = workerThreads,
        errorBody = ::errorBody,
    )

/** Null if HTTPS is not configured. */
internal fun ApiSettings.toTls(): SSLContext? {
    val file = tlsKeystoreFile ?: return null
    val password =
        Path
            .of(requireNotNull(tlsPasswordFile))
            .readText()
            .trim()
            .toCharArray()
    val keys = KeyStore.getInstance("PKCS12")
    Path.of(file).inputStream().use { keys.load(it, password) }
    val managers = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm())
    managers.init(keys, password)
    return SSLContext.getInstance("TLS").apply { init(managers.keyManagers, null, null) }
}

/** Returns a port that was free just now, because the node's record must name its ports before its servers listen. */
internal fun freePort(ip: String): Int = ServerSocket(0, 1, InetAddress.getByName(ip)).use { it.localPort }
