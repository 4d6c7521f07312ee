package lavendertrail.program

import java.security.MessageDigest
import java.util.HexFormat

/**
 * The first 128 bits of a SHA-256 hash, packed into two longs. It takes a quarter of the memory of the full hash as a hex
 * string, and a chance collision is still improbable at any number of calls that fits into a journal.
 */
internal data class Digest(
    val high: Long,
    val low: Long,
) {
    fun hex(): String = HexFormat.of().run { toHexDigits(high) + toHexDigits(low) }
}

internal fun digestOf(vararg parts: String): Digest {
    val sha256 = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        val bytes = part.toByteArray()
        sha256.update(lengthPrefix(bytes.size))
        sha256.update(bytes)
    }
    val hash = sha256.digest()
    return Digest(longAt(hash, 0), longAt(hash, Long.SIZE_BYTES))
}

/** The digest of the hash whose full hex form is [sha256Hex]. */
internal fun digestOfHex(sha256Hex: String): Digest =
    Digest(sha256Hex.substring(0, 16).toULong(16).toLong(), sha256Hex.substring(16, 32).toULong(16).toLong())

/** A length prefix, so that the parts ("ab", "c") and ("a", "bc") have different digests. */
private fun lengthPrefix(length: Int): ByteArray = "$length:".toByteArray()

private fun longAt(
    bytes: ByteArray,
    offset: Int,
): Long = (0 until Long.SIZE_BYTES).fold(0L) { value, index -> (value shl 8) or (bytes[offset + index].toLong() and 0xff) }
