package lavendertrail.dev

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lavendertrail.http.httpClient
import lavendertrail.model.Message
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.util.concurrent.atomic.AtomicInteger

/** A complete answer as a caller received it. [textSha256] is the hash that the node reports for the text it sent. */
public data class ReceivedAnswer(
    public val text: String,
    public val textSha256: String?,
    public val node: String,
    public val firstMillis: Long,
    public val totalMillis: Long,
    public val promptTokens: Long,
    public val cachedTokens: Long,
    public val generatedTokens: Long,
    public val costMicros: Long,
)

/** A node answered with an error. */
public class ApiCallException(
    public val status: Int,
    public val body: String,
) : RuntimeException("status $status: $body")

/** Calls the API with the [token] of an account, each time at the next of [addresses]. */
public class ApiCaller(
    private val addresses: () -> List<String>,
    private val token: String,
    private val http: HttpHandler = httpClient(),
) {
    private val next = AtomicInteger()

    public fun open(
        account: String,
        assistant: String,
        openKey: String? = null,
    ): String {
        val body =
            buildJsonObject {
                put("account", account)
                put("assistant", assistant)
                if (openKey != null) put("openKey", openKey)
            }
        return post("/v1/programs", body).getValue("program").jsonPrimitive.content
    }

    public fun openChild(
        program: String,
        number: Int,
        assistant: String,
    ): String {
        val body =
            buildJsonObject {
                put("number", number)
                put("assistant", assistant)
            }
        return post("/v1/programs/$program/subagents", body).getValue("program").jsonPrimitive.content
    }

    /** A model call whose answer is read as a stream. */
    public fun chat(
        program: String,
        position: Int,
        model: String,
        messages: List<Message>,
        maxTokens: Int = 64,
        address: String = nextAddress(),
    ): ReceivedAnswer {
        val beginNanos = System.nanoTime()
        val request = request(Method.POST, address, "/v1/chat/completions").body(chatBody(program, position, model, messages, maxTokens))
        return http(request).use { response ->
            if (response.status.code != OK) throw ApiCallException(response.status.code, response.bodyString())
            readStream(response, address, beginNanos)
        }
    }

    /** Makes a tool call and returns the complete answer. */
    public fun tool(
        program: String,
        position: Int,
        tool: String,
        arguments: String,
        key: String?,
        address: String = nextAddress(),
    ): JsonObject {
        val body =
            buildJsonObject {
                put("position", position)
                put("tool", tool)
                put("arguments", arguments)
                put("repeatable", key == null)
                if (key != null) put("key", key)
            }
        return post("/v1/programs/$program/tools", body, address)
    }

    public fun toolResult(
        program: String,
        position: Int,
        tool: String,
        content: String,
    ): JsonObject {
        val body =
            buildJsonObject {
                put("position", position)
                put("tool", tool)
                put("content", content)
            }
        return post("/v1/programs/$program/tool-results", body)
    }

    public fun end(program: String): JsonObject = post("/v1/programs/$program/end", buildJsonObject { })

    public fun history(program: String): JsonElement = get("/v1/programs/$program/history")

    public fun get(
        path: String,
        address: String = nextAddress(),
    ): JsonElement = send(request(Method.GET, address, path))

    public fun post(
        path: String,
        body: JsonObject,
        address: String = nextAddress(),
    ): JsonObject = send(request(Method.POST, address, path).body(body.toString())).jsonObject

    /** Picks nodes round-robin, as a load balancer does. */
    public fun nextAddress(): String {
        val all = addresses()
        return all[Math.floorMod(next.getAndIncrement(), all.size)]
    }

    private fun request(
        method: Method,
        address: String,
        path: String,
    ): Request = Request(method, "http://$address$path").header("Authorization", "Bearer $token").header("Content-Type", "application/json")

    private fun send(request: Request): JsonElement =
        http(request).use { response ->
            val text = response.bodyString()
            if (response.status.code !in OK..CREATED) throw ApiCallException(response.status.code, text)
            Json.parseToJsonElement(text)
        }

    private fun chatBody(
        program: String,
        position: Int,
        model: String,
        messages: List<Message>,
        maxTokens: Int,
    ): String =
        buildJsonObject {
            put("model", model)
            put("max_tokens", maxTokens)
            put("stream", true)
            putJsonArray("messages") { messages.forEach { addJsonObject { putMessage(it) } } }
            putJsonObject("lavendertrail") {
                put("program", program)
                put("position", position)
            }
        }.toString()

    private fun JsonObjectBuilder.putMessage(message: Message) {
        put("role", message.role)
        put("content", message.content)
    }

    private fun readStream(
        response: Response,
        address: String,
        beginNanos: Long,
    ): ReceivedAnswer {
        val reader = EventReader(response.body.stream.bufferedReader())
        val text = StringBuilder()
        var firstMillis = -1L
        while (true) {
            val event = reader.next() ?: throw ApiCallException(response.status.code, "stream ended without a final event")
            val data = Json.parseToJsonElement(event.data).jsonObject
            when (event.name) {
                "error" -> throw ApiCallException(response.status.code, event.data)

                "rewind" -> text.truncateToBytes(data.getValue("to_byte").jsonPrimitive.long)

                else -> {
                    if (firstMillis < 0) firstMillis = millisSince(beginNanos)
                    data.contentDelta()?.let(text::append)
                    data["usage"]?.let { return toReceivedAnswer(text.toString(), data, address, firstMillis, millisSince(beginNanos)) }
                }
            }
        }
    }

    private fun toReceivedAnswer(
        text: String,
        lastEvent: JsonObject,
        address: String,
        firstMillis: Long,
        totalMillis: Long,
    ): ReceivedAnswer {
        val usage = lastEvent.getValue("usage").jsonObject
        val outcome = lastEvent.getValue("lavendertrail").jsonObject
        return ReceivedAnswer(
            text = text,
            textSha256 = outcome["text_sha256"]?.jsonPrimitive?.content,
            node = address,
            firstMillis = firstMillis,
            totalMillis = totalMillis,
            promptTokens = usage.number("prompt_tokens"),
            cachedTokens = usage.getValue("prompt_tokens_details").jsonObject.number("cached_tokens"),
            generatedTokens = usage.number("completion_tokens"),
            costMicros = outcome.number("cost_micros"),
        )
    }

    private companion object {
        const val OK = 200
        const val CREATED = 201
        const val NANOS_PER_MILLI = 1_000_000L

        fun millisSince(beginNanos: Long): Long = (System.nanoTime() - beginNanos) / NANOS_PER_MILLI
    }
}

private fun JsonObject.number(name: String): Long = getValue(name).jsonPrimitive.long

private fun JsonObject.contentDelta(): String? {
    val choice = getValue("choices").jsonArray.firstOrNull()?.jsonObject ?: return null
    return (choice["delta"]?.jsonObject?.get("content") as? JsonPrimitive)?.content
}

private fun StringBuilder.truncateToBytes(bytes: Long) {
    val remaining = toString().toByteArray().decodeToString(0, bytes.toInt())
    setLength(0)
    append(remaining)
}
