package lavendertrail.load

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lavendertrail.model.Message
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request

/** Times of one streamed call. [gapNanos] are the times between consecutive pieces of text. */
internal class TimedAnswer(
    val firstNanos: Long,
    val totalNanos: Long,
    val gapNanos: List<Long>,
    val text: String,
)

/** A place in a program, for calls through a node. */
internal data class CallPlace(
    val program: String,
    val position: Int,
)

/**
 * Makes streamed chat calls and takes times as each piece of text arrives. The same code reads direct answers and those
 * of a node, so that the caller's own cost is the same in both.
 */
internal class TimedCaller(
    private val http: HttpHandler,
) {
    fun chat(
        address: String,
        token: String?,
        model: String,
        messages: List<Message>,
        maxTokens: Int,
        place: CallPlace?,
    ): TimedAnswer {
        val body = chatBody(model, messages, maxTokens, place)
        val request = Request(Method.POST, "http://$address/v1/chat/completions").header("Content-Type", "application/json").body(body)
        val begin = System.nanoTime()
        return http(if (token == null) request else request.header("Authorization", "Bearer $token")).use { response ->
            check(response.status.successful) { "$address answered ${response.status.code}: ${response.bodyString().take(300)}" }
            read(response.body.stream.bufferedReader(), begin)
        }
    }

    private fun read(
        reader: java.io.BufferedReader,
        begin: Long,
    ): TimedAnswer {
        val arrivals = mutableListOf<Long>()
        val text = StringBuilder()
        var whole = false
        while (true) {
            val line = reader.readLine() ?: break
            check(!line.startsWith("event: error")) { "the stream ended with an error: ${reader.readLine()} ${reader.readLine()}" }
            if (!line.startsWith(DATA)) continue
            val piece = contentOf(line)
            if (piece != null) {
                arrivals += System.nanoTime()
                text.append(piece)
            }
            whole = whole || USAGE in line
        }
        check(whole && arrivals.isNotEmpty()) { "the stream ended early after ${arrivals.size} pieces" }
        return TimedAnswer(
            firstNanos = arrivals.first() - begin,
            totalNanos = System.nanoTime() - begin,
            gapNanos = arrivals.zipWithNext { before, after -> after - before },
            text = text.toString(),
        )
    }

    /** The stand-ins' words hold no escapes, so that no JSON parser is needed in the timed path. */
    private fun contentOf(line: String): String? {
        val start = line.indexOf(CONTENT)
        if (start < 0) return null
        val from = start + CONTENT.length
        return line.substring(from, line.indexOf('"', from)).ifEmpty { null }
    }

    private companion object {
        const val DATA = "data: "
        const val CONTENT = "\"content\":\""
        const val USAGE = "\"usage\":{"
    }
}

private fun chatBody(
    model: String,
    messages: List<Message>,
    maxTokens: Int,
    place: CallPlace?,
): String =
    buildJsonObject {
        put("model", model)
        put("max_tokens", maxTokens)
        put("stream", true)
        putJsonArray("messages") {
            messages.forEach {
                addJsonObject {
                    put("role", it.role)
                    put("content", it.content)
                }
            }
        }
        if (place != null) {
            putJsonObject("lavendertrail") {
                put("program", place.program)
                put("position", place.position)
            }
        }
    }.toString()
