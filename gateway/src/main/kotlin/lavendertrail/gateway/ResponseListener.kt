package lavendertrail.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Callbacks for the response to one HTTP request. Exactly one of [onEnd] and [onFailure] is called, as the last callback. */
internal class ResponseListener(
    /** Returns false if the response belongs to an earlier request; the connection then skips it. */
    val onHead: (HttpResponse) -> Boolean,
    /** The buffer is released when the callback returns. */
    val onContent: (ByteBuf) -> Unit,
    val onEnd: () -> Unit,
    /** Called with the reason if writing the request, the connection or reading the response fails. */
    val onFailure: (String) -> Unit,
    /** The bytes of memory that are kept of the response so far. */
    val keptBytes: () -> Long = { 0 },
)
