package lavendertrail.gateway

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import lavendertrail.serving.accountFingerprint
import java.net.InetSocketAddress
import java.util.zip.CRC32

/** Adds the fields that every log line about a request has. */
internal fun JsonObjectBuilder.putRequest(exchange: Exchange) {
    put("request", exchange.request.attemptId)
    exchange.accountName?.let { put("account", it) }
    exchange.request.programId?.let { put("program", it) }
    put("path", exchange.request.path)
    put("sends", exchange.attemptCount)
    exchange.lastServer?.let {
        put("lastServer", it.id)
        put("version", it.softwareVersion)
    }
    exchange.lastPlacement?.let { cause ->
        put("placed", cause.reason.name.lowercase())
        cause.homeSlowerMillis?.let { put("homeSlowerMillis", it) }
    }
    exchange.request.resumedAttemptId?.let { put("resumes", it) }
    exchange.request.resumeAfterEventId?.let { put("afterEvent", it) }
}

/** Adds what tells whether two attempts are the same request of the same caller; for attempts that may have crashed a server. */
internal fun JsonObjectBuilder.putIdentity(exchange: Exchange) {
    val request = exchange.request
    put("fingerprint", request.fingerprint?.let { plain -> exchange.accountName?.let { accountFingerprint(plain, it) } ?: plain })
    put("bodyBytes", exchange.body.size)
    put("bodyHash", CRC32().apply { update(exchange.body) }.value.toString(HEX_RADIX))
    (exchange.connection.channel.remoteAddress() as? InetSocketAddress)?.let { put("callerAddress", it.address.hostAddress) }
    put("affinityKey", request.affinityKey)
    put("session", request.sessionId)
    put("continues", request.previousTurnId)
}

private const val HEX_RADIX = 16
