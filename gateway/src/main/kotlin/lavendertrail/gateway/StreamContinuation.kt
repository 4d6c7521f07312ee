package lavendertrail.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil

/*
 * A stream that another server goes on with in the same response. The caller has received the head of the first server, so
 * only events that follow the last one may be added: an error of the next server can't be told from an event any more.
 */

/** Whether a response with this head may bring the rest of a stream. Not all servers state the type of a stream. */
internal fun HttpResponse.continuesStream(): Boolean =
    status() == HttpResponseStatus.OK && (HttpUtil.getMimeType(this)?.let(::isEventStream) ?: true)

/** Whether the end of this response without any event means that the stream has ended, and not that the response was cut short. */
internal fun HttpResponse.statesEndOfStream(): Boolean = isFramed && HttpUtil.getMimeType(this)?.let(::isEventStream) == true

/** Whether this response states its end, and doesn't just end with the connection. */
internal val HttpResponse.isFramed: Boolean
    get() = HttpUtil.isTransferEncodingChunked(this) || headers().contains(HttpHeaderNames.CONTENT_LENGTH)

private fun isEventStream(mimeType: CharSequence) = HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(mimeType)

/** Whether this event can come after the event with [previousId] in one stream, in which ids increase. */
internal fun StreamEvent.follows(previousId: String?): Boolean {
    val ownId = id ?: return isComment
    if (previousId == null) return false
    val ownNumber = ownId.toLongOrNull()
    val previousNumber = previousId.toLongOrNull()
    return if (ownNumber != null && previousNumber != null) ownNumber > previousNumber else ownId != previousId
}

private val StreamEvent.isComment: Boolean
    get() = String(bytes, Charsets.UTF_8).lineSequence().all { it.isBlank() || it.startsWith(":") }
