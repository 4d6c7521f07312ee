package lavendertrail.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Rejects requests whose end is ambiguous, which would allow request smuggling. With both `Content-Length` and
 * `Transfer-Encoding: chunked`, Netty ignores the length, while a server that goes by the length would read the rest of the body as
 * another request. With a transfer coding other than `chunked`, Netty would read the body itself as another request.
 */
internal class StrictRequestDecoder(
    maxHeaderBytes: Int,
) : HttpRequestDecoder(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding")

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        require(codings.all { HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(it.trim()) }) { "request has transfer codings $codings" }
        return super.isContentAlwaysEmpty(message)
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
    }
}
