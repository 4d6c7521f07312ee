package lavendertrail.serving

import lavendertrail.membership.stableHash
import java.util.zip.CRC32

/**
 * Equal for requests with the same method, host, target and body, whichever attempt, session or program brings them. Sessions and
 * programs end, and their successors send the same request again.
 */
public fun requestFingerprint(
    request: CallerRequest,
    body: ByteArray,
): String {
    val target = listOf(request.method, request.host, request.target).joinToString("\n")
    val bodyHash = CRC32().apply { update(body) }.value
    return listOf(stableHash(target).toULong(), bodyHash.toULong(), body.size.toULong()).joinToString("-") { it.toString(HEX_RADIX) }
}

/** The fingerprint of a request of one client account, given that of the same request without one. */
public fun accountFingerprint(
    fingerprint: String,
    accountName: String,
): String = "$fingerprint-${stableHash(accountName).toULong().toString(HEX_RADIX)}"

/**
 * Tells senders of the same request apart as far as a request allows it: the hash of its affinity key, its session or its program;
 * empty for a request that names none.
 */
public val CallerRequest.senderId: String
    get() = (affinityKey ?: sessionId ?: programId)?.let { stableHash(it).toULong().toString(HEX_RADIX) }.orEmpty()

private const val HEX_RADIX = 16
