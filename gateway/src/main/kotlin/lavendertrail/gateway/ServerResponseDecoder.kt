package lavendertrail.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes the responses on a connection to a server, each by the method of its request. */
internal class ServerResponseDecoder : HttpResponseDecoder(MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEAD_BYTES, MAX_CHUNK_BYTES) {
    /** The method of the request in flight. A response to `HEAD` has no body, whatever length its head states. */
    var requestMethod: HttpMethod? = null

    /** Whether bytes have been received that are not part of the messages decoded so far. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        requestMethod == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    private companion object {
        /** The largest request head of a caller, with room for the headers that servers add to their responses. */
        const val MAX_RESPONSE_HEAD_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 65_536
    }
}

/** Why this head can't be that of a response, although it could be parsed; null if it can. */
internal fun HttpResponse.headProblem(): String? {
    val codings = headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
    return when {
        protocolVersion().protocolName() != "HTTP" || protocolVersion().majorVersion() != 1 -> "protocol ${protocolVersion()}"
        status().code() !in VALID_STATUS_CODES -> "status ${status().code()}"
        // Two status lines in a row: the first may be the start of a response that was cut short.
        "HTTP/" in status().reasonPhrase() -> "reason phrase ${status().reasonPhrase()}"
        headers().any { STATUS_LINE.containsMatchIn(it.value) } -> "a status line within a header"
        headers().names().any { !it.isToken() } -> "header names ${headers().names().filter { !it.isToken() }}"
        codings.any { !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(it.trim()) } -> "transfer codings $codings"
        else -> null
    }
}

private fun String.isToken() = isNotEmpty() && all { it.isLetterOrDigit() && it.code < ASCII_END || it in TOKEN_SYMBOLS }

private const val ASCII_END = 128
private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
private val VALID_STATUS_CODES = 100..599
