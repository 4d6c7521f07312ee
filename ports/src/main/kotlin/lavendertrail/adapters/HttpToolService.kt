package lavendertrail.adapters

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import lavendertrail.model.ServerId
import lavendertrail.model.StepError
import lavendertrail.ports.AttemptError
import lavendertrail.ports.ToolRequest
import lavendertrail.ports.ToolService
import lavendertrail.ports.ToolStatus
import lavendertrail.reducer.AttemptFailure
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import java.io.IOException
import java.net.URLEncoder

/**
 * The tool or plain service [server] at [address] (`ip:port`). A call is sent at most once, by [unpooled], which must open a
 * new connection for each request; [http] may use pooled connections and is only used to query the status of calls.
 */
public fun httpToolService(
    server: ServerId,
    address: String,
    statusTimeoutMillis: Long = 5_000,
    http: HttpHandler = SharedClients.pooled,
    unpooled: HttpHandler = SharedClients.unpooled,
): ToolService =
    HttpToolService(
        JsonPeer(server.value, address, http, statusTimeoutMillis),
        JsonPeer(server.value, address, unpooled, statusTimeoutMillis),
    )

/** See [httpToolService]. */
internal class HttpToolService(
    private val peer: JsonPeer,
    private val unpooledPeer: JsonPeer,
) : ToolService {
    override fun call(request: ToolRequest): Result<String, AttemptError> {
        val body = wireJson.encodeToString(ToolCallBody(request.tool.value, request.key, request.arguments, request.timeoutMillis))
        val http = peer.request(Method.POST, "/call", body)
        val (status, text) = unpooledPeer.fetch(http, request.timeoutMillis).getOrElse { return Err(toAttemptError(it)) }
        if (status !in JsonPeer.SUCCESS) return Err(attemptError(failureOfStatus(status), "status $status: $text"))
        return try {
            Ok(wireJson.decodeFromString<ToolCallAnswer>(text).answer)
        } catch (e: IllegalArgumentException) {
            Err(attemptError(AttemptFailure.ERROR, "malformed answer: ${e.message}"))
        }
    }

    override fun status(key: String): Result<ToolStatus?, StepError> {
        val http = peer.request(Method.GET, "/calls/${URLEncoder.encode(key, Charsets.UTF_8)}")
        val (status, text) = peer.fetch(http).getOrElse { return Err(peer.error(STATUS_STEP, it.message.orEmpty())) }
        return when {
            status == NOT_FOUND -> Ok(null)
            status !in JsonPeer.SUCCESS -> Err(peer.error(STATUS_STEP, "status $status: $text"))
            else -> decodeStatus(text)
        }
    }

    override fun close(): Unit = Unit

    private fun decodeStatus(text: String): Result<ToolStatus?, StepError> =
        try {
            val body = wireJson.decodeFromString<ToolStatusBody>(text)
            Ok(ToolStatus(body.done, body.answer))
        } catch (e: IllegalArgumentException) {
            Err(peer.error(STATUS_STEP, "malformed answer: ${e.message}"))
        }

    /** A timeout after the request was sent is the call's deadline, because a tool call has no other time limit. */
    private fun toAttemptError(cause: IOException): AttemptError {
        val failure =
            when {
                !cause.mayHaveBeenSent -> AttemptFailure.REJECTED
                cause.isTimeout -> AttemptFailure.DEADLINE
                else -> AttemptFailure.CONNECTION_LOST
            }
        return attemptError(failure, cause.message.orEmpty())
    }

    private fun attemptError(
        failure: AttemptFailure,
        message: String,
    ): AttemptError = AttemptError(failure, peer.error("tool call", message.take(JsonPeer.MAX_QUOTED_CHARS)))

    @Serializable
    private data class ToolCallBody(
        val tool: String,
        val key: String?,
        val arguments: String,
        val timeoutMillis: Long,
    )

    @Serializable
    private data class ToolCallAnswer(
        val answer: String,
    )

    @Serializable
    private data class ToolStatusBody(
        val done: Boolean,
        val answer: String? = null,
    )

    private companion object {
        const val STATUS_STEP = "tool status"
        const val NOT_FOUND = 404
    }
}
