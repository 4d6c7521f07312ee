package lavendertrail.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import lavendertrail.serving.accountOwnedId
import lavendertrail.turns.TurnRecord
import java.io.ByteArrayOutputStream

/*
 * What is forwarded between callers and servers: bodies with the earlier turns, finished turns, and end-to-end headers.
 */

/** The body of the request to the server: input and output of each earlier turn in order, then the new input. */
internal fun Exchange.requestBody(): ByteArray {
    if (history.isEmpty()) return body
    val text = ByteArrayOutputStream(history.sumOf { it.sizeBytes } + body.size)
    for (turn in history) {
        text.write(turn.input)
        text.write(turn.output)
    }
    text.write(body)
    return text.toByteArray()
}

internal fun Exchange.toTurnRecord(expiresAtEpochMillis: Long) =
    TurnRecord(
        id = accountOwnedId(accountName, request.attemptId),
        programId = request.programId.orEmpty(),
        previousId = request.previousTurnId?.let { accountOwnedId(accountName, it) },
        input = body,
        output = output.toByteArray(),
        expiresAtEpochMillis = expiresAtEpochMillis,
        streamId = streamLease?.attemptId,
        eventMarks = if (streamLease == null) null else output.marks,
    )

/** Why a success response can't be the one that a backend server gave to this request; null if it can, or is no success. */
internal fun Exchange.problemOfSuccess(
    response: HttpResponse,
    responseHead: ServerResponseHead,
): String? {
    if (response.status().codeClass() != HttpStatusClass.SUCCESS) return null
    if (!responseHead.hasServerMark) return "success response without the header that marks responses of backend servers"
    val accepted = head.headers().getAll(HttpHeaderNames.ACCEPT_ENCODING).joinToString(",")
    val refused = response.headers().getAll(HttpHeaderNames.CONTENT_ENCODING).filter { it != "identity" && it !in accepted }
    return if (refused.isEmpty()) null else "success response with content encodings $refused, for which the caller did not ask"
}

/** Copies the headers of a server's response without the hop-by-hop headers. */
internal fun endToEndHeaders(headers: HttpHeaders): HttpHeaders {
    val copy = headers.copy()
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.forEach { copy.remove(it.trim()) }
    HOP_BY_HOP_HEADERS.forEach { copy.remove(it) }
    return copy
}

/** Headers that are not forwarded (RFC 9110, section 7.6.1), and `Content-Length`, which is recomputed. */
public val HOP_BY_HOP_HEADERS: List<String> =
    listOf("connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "content-length")
