package lavendertrail.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import lavendertrail.http.HttpCallException
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response

/** What a node answered; [body] is JSON null where it isn't JSON. */
internal class AdminAnswer(
    val status: Int,
    val body: JsonElement,
)

/** Calls the operators' routes of the node at [address]. */
internal class AdminClient(
    val address: String,
    private val token: String,
    private val http: HttpHandler,
    private val scheme: String = "http",
) {
    fun at(other: String): AdminClient = AdminClient(other, token, http, scheme)

    /** The answer to a GET, or an error that says what the node said. */
    fun get(path: String): JsonElement = send(Method.GET, path).also { check(it, path) }.body

    fun post(
        path: String,
        body: JsonObject,
    ): JsonElement = send(Method.POST, path, body).also { check(it, path) }.body

    fun send(
        method: Method,
        path: String,
        body: JsonObject? = null,
    ): AdminAnswer = call(method, path, body) { AdminAnswer(it.status.code, parse(it.bodyString())) }

    /** Passes each line of a long answer to [onLine]; false where the node has nothing under [path]. */
    fun lines(
        path: String,
        onLine: (String) -> Unit,
    ): Boolean =
        call(Method.GET, path, null) { response ->
            val status = response.status.code
            when (status) {
                NOT_FOUND -> false

                OK -> {
                    response.body.stream
                        .bufferedReader()
                        .forEachLine(onLine)
                    true
                }

                else -> throw CommandEnd(message(AdminAnswer(status, parse(response.bodyString())), path))
            }
        }

    fun check(
        answer: AdminAnswer,
        path: String,
    ) {
        if (answer.status !in OK..CREATED) throw CommandEnd(message(answer, path))
    }

    private fun message(
        answer: AdminAnswer,
        path: String,
    ): String {
        val said = (answer.body as? JsonObject)?.get("message") as? JsonPrimitive
        return "node $address answered ${answer.status} to $path: ${said?.contentOrNull ?: answer.body}"
    }

    private fun <T> call(
        method: Method,
        path: String,
        body: JsonObject?,
        read: (Response) -> T,
    ): T {
        val request = Request(method, "$scheme://$address$path").header("Authorization", "Bearer $token")
        val sent = if (body == null) request else request.header("Content-Type", "application/json").body(body.toString())
        return try {
            http(sent).use(read)
        } catch (e: HttpCallException) {
            throw CommandEnd("node $address can't be reached: ${e.message}")
        } catch (e: java.io.IOException) {
            throw CommandEnd("the answer of node $address to $path broke off: ${e.message}")
        }
    }

    private fun parse(text: String): JsonElement =
        try {
            Json.parseToJsonElement(text)
        } catch (_: SerializationException) {
            JsonNull
        }

    companion object {
        const val OK = 200
        const val CREATED = 201
        const val NOT_FOUND = 404
        const val CONFLICT = 409
    }
}
