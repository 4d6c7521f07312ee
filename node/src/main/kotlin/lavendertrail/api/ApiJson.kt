package lavendertrail.api

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** JSON of requests and responses. Unknown fields of a request are rejected, so that a misspelt limit is not silently ignored. */
internal object ApiJson {
    private val strict: Json =
        Json {
            encodeDefaults = true
            explicitNulls = false
        }

    private val pretty: Json =
        Json(strict) {
            prettyPrint = true
            prettyPrintIndent = "  "
        }

    fun <T> encode(
        serializer: SerializationStrategy<T>,
        value: T,
    ): String = strict.encodeToString(serializer, value)

    fun encode(element: JsonElement): String = strict.encodeToString(JsonElement.serializer(), element)

    fun encodePretty(element: JsonElement): String = pretty.encodeToString(JsonElement.serializer(), element)

    /** Decodes a request's body. Nesting is checked against [maxDepth] first, because the JSON parser is recursive. */
    fun <T> read(
        request: Request,
        serializer: DeserializationStrategy<T>,
        maxDepth: Int,
    ): T {
        val text = request.bodyString()
        if (text.isBlank()) throw badRequest("body is empty; a JSON object is expected")
        checkDepth(text, maxDepth)
        return try {
            strict.decodeFromString(serializer, text)
        } catch (error: SerializationException) {
            throw badRequest("body could not be decoded: ${error.message.orEmpty().lineSequence().first()}")
        } catch (error: IllegalArgumentException) {
            throw badRequest("body could not be decoded: ${error.message.orEmpty().lineSequence().first()}")
        }
    }

    fun parseObject(
        text: String,
        maxDepth: Int,
    ): JsonObject {
        checkDepth(text, maxDepth)
        return try {
            strict.parseToJsonElement(text) as? JsonObject ?: throw badRequest("body must be a JSON object")
        } catch (error: SerializationException) {
            throw badRequest("body could not be decoded: ${error.message.orEmpty().lineSequence().first()}")
        }
    }

    private fun checkDepth(
        text: String,
        maxDepth: Int,
    ) {
        var depth = 0
        var quoted = false
        var escaped = false
        for (char in text) {
            when {
                escaped -> escaped = false
                quoted && char == '\\' -> escaped = true
                char == '"' -> quoted = !quoted
                quoted -> Unit
                char == '{' || char == '[' -> if (++depth > maxDepth) throw badRequest("body is nested deeper than $maxDepth levels")
                char == '}' || char == ']' -> depth--
            }
        }
    }
}

internal fun <T> jsonResponse(
    serializer: SerializationStrategy<T>,
    value: T,
    status: Status = Status.OK,
): Response = jsonText(ApiJson.encode(serializer, value), status)

internal fun jsonText(
    text: String,
    status: Status = Status.OK,
): Response = Response(status).header("Content-Type", "application/json; charset=utf-8").body(text)
