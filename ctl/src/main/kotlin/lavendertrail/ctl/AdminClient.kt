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

/** An HTTP response of a node. [body] is JSON null if the response isn't JSON. */
internal class AdminResponse(
    val status: Int,
    val body: JsonElement,
)

/** HTTP client for the admin API of the node at [address]. */
internal class AdminClient(
    val address: String,
    private val token: String,
    private val http: HttpHandler,
    private val scheme: String = "http",
) {
    /** A client with the same credentials for another node. */
    fun forAddress(other: String): AdminClient = AdminClient(other, token, http, scheme)

    /** Returns the body of the response to a GET. Throws a [CommandExit] with the node's message on an error status. */
    fun get(path: String): JsonElement = send(Method.GET, path).also { requireSuccess(it, path) }.body

    fun post(
        path: String,
        body: JsonObject,
    ): JsonElement = send(Method.POST, path, body).also { requireSuccess(it, path) }.body

    fun send(
        method: Method,
        path: String,
        body: JsonObject? = null,
    ): AdminResponse = exchange(method, path, body) { AdminResponse(it.status.code, parseBody(it.bodyString())) }

    /** Streams the lines of the response to [onLine]. Returns false if the node answers 404 to [path]. */
    fun streamLines(
        path: String,
        onLine: (String) -> Unit,
    ): Boolean =
        exchange(Method.GET, path, null) { response ->
            val status = response.status.code
            when (status) {
                NOT_FOUND -> false

                OK -> {
                    response.body.stream
                        .bufferedReader()
                        .forEachLine(onLine)
                    true
                }

                else -> throw CommandExit(errorMessage(AdminResponse(status, parseBody(response.bodyString())), path))
            }
        }

    /** Throws a [CommandExit] with the node's message unless the status is 200 or 201. */
    fun requireSuccess(
        response: AdminResponse,
        path: String,
    ) {
        if (response.status !in OK..CREATED) throw CommandExit(errorMessage(response, path))
    }

    private fun errorMessage(
        response: AdminResponse,
        path: String,
    ): String {
        val message = (response.body as? JsonObject)?.get("message") as? JsonPrimitive
        return "node $address answered ${response.status} to $path: ${message?.contentOrNull ?: response.body}"
    }

    private fun <T> exchange(
        method: Method,
        path: String,
        body: JsonObject?,
        read: (Response) -> T,
    ): T {
        val request = Request(method, "$scheme://$address$path").header("Authorization", "Bearer $token")
        val requestWithBody = if (body == null) request else request.header("Content-Type", "application/json").body(body.toString())
        return try {
            http(requestWithBody).use(read)
        } catch (e: HttpCallException) {
            throw CommandExit("node $address can't be reached for $path: ${e.message}")
        } catch (e: java.io.IOException) {
            throw CommandExit("reading the response of node $address to $path failed: ${e.message}")
        }
    }

    private fun parseBody(text: String): JsonElement =
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
