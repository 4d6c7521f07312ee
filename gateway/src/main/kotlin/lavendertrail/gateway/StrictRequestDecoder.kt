package lavendertrail.gateway

import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Rejects requests that have both `Content-Length` and `Transfer-Encoding: chunked`, which would allow request smuggling: Netty
 * ignores the length, while a server that goes by the length would read the rest of the body as another request.
 */
internal class StrictRequestDecoder(
    maxHeaderBytes: Int,
) : HttpRequestDecoder(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("request has both Content-Length and chunked Transfer-Encoding")

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
    }
}
