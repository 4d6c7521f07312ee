package lavendertrail.adapters

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import lavendertrail.http.HttpCallException
import lavendertrail.http.withIdleLimit
import lavendertrail.model.StepError
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.io.IOException

internal val wireJson =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

/** An HTTP response that was read to its end. */
internal data class TextResponse(
    val status: Int,
    val text: String,
)

/** Sends JSON requests to one server. Its name [peer] is part of all errors. */
internal class JsonPeer(
    val peer: String,
    val address: String,
    private val http: HttpHandler,
    private val timeoutMillis: Long,
) {
    fun request(
        method: Method,
        path: String,
        body: String? = null,
    ): Request {
        val request = Request(method, "http://$address$path")
        return if (body == null) request else request.header("content-type", "application/json").body(body)
    }

    fun withTimeout(millis: Long): JsonPeer = JsonPeer(peer, address, http, millis)

    /** Sends [request] and returns the response, whose body has not been read yet. */
    fun open(request: Request): Response = http(request)

    /** Sends [request] and reads the whole response, whatever its status. */
    fun fetch(
        request: Request,
        idleMillis: Long = timeoutMillis,
    ): Result<TextResponse, IOException> =
        try {
            http(request.withIdleLimit(idleMillis)).use { Ok(TextResponse(it.status.code, it.bodyString())) }
        } catch (e: IOException) {
            Err(e)
        }

    /** The response body of [request] if the status is 2xx, otherwise an error. */
    fun text(
        step: String,
        request: Request,
    ): Result<String, StepError> {
        val (status, text) = fetch(request).getOrElse { return Err(error(step, it.message.orEmpty())) }
        return if (status in SUCCESS) Ok(text) else Err(error(step, "status $status: ${text.take(MAX_QUOTED_CHARS)}"))
    }

    fun json(
        step: String,
        request: Request,
    ): Result<JsonObject, StepError> = text(step, request).andThen { it.parseObject(step) }

    inline fun <reified T> decode(
        step: String,
        request: Request,
    ): Result<T, StepError> =
        text(step, request).andThen { text ->
            try {
                Ok(wireJson.decodeFromString<T>(text))
            } catch (e: IllegalArgumentException) {
                Err(error(step, "malformed answer: ${e.message}"))
            }
        }

    fun unit(
        step: String,
        request: Request,
    ): Result<Unit, StepError> = text(step, request).map { }

    fun error(
        step: String,
        message: String,
    ): StepError = StepError(step, peer, message)

    private fun String.parseObject(step: String): Result<JsonObject, StepError> =
        try {
            when (val element: JsonElement = wireJson.parseToJsonElement(this)) {
                is JsonObject -> Ok(element)
                else -> Err(error(step, "answer is not a JSON object: ${take(MAX_QUOTED_CHARS)}"))
            }
        } catch (e: SerializationException) {
            Err(error(step, "malformed answer: ${e.message}"))
        }

    companion object {
        val SUCCESS = 200..299

        /** Limits quoted response bodies in error messages, because error pages can be long. */
        const val MAX_QUOTED_CHARS = 200
    }
}

/** Whether any byte of the request may have reached the peer. */
internal val IOException.mayHaveBeenSent: Boolean get() = (this as? HttpCallException)?.sent ?: true

internal val IOException.isTimeout: Boolean
    get() = (this as? HttpCallException)?.timedOut ?: (this is java.net.SocketTimeoutException)
