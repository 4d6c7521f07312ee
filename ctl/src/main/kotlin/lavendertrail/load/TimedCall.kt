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

/** Text and times of one streamed call. [gapNanos] are the times between consecutive pieces of text. */
internal class TimedAnswer(
    val firstNanos: Long,
    val totalNanos: Long,
    val gapNanos: List<Long>,
    val text: String,
)

/** The position of a call in its program, for calls through a node. */
internal data class ProgramPosition(
    val program: String,
    val position: Int,
)

/**
 * Makes streamed chat calls and records the arrival time of each piece of text. The same code reads the answers of engines and
 * of nodes, so the caller's own cost is the same in both.
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
        callPosition: ProgramPosition?,
    ): TimedAnswer {
        val body = chatBody(model, messages, maxTokens, callPosition)
        val request = Request(Method.POST, "http://$address/v1/chat/completions").header("Content-Type", "application/json").body(body)
        val startNanos = System.nanoTime()
        return http(if (token == null) request else request.header("Authorization", "Bearer $token")).use { response ->
            check(response.status.successful) { "$address answered ${response.status.code}: ${response.bodyString().take(300)}" }
            readStream(response.body.stream.bufferedReader(), startNanos)
        }
    }

    private fun readStream(
        reader: java.io.BufferedReader,
        startNanos: Long,
    ): TimedAnswer {
        val arrivalNanos = mutableListOf<Long>()
        val text = StringBuilder()
        var complete = false
        while (true) {
            val line = reader.readLine() ?: break
            check(!line.startsWith("event: error")) { "the stream ended with an error: ${reader.readLine()} ${reader.readLine()}" }
            if (!line.startsWith(DATA)) continue
            val piece = contentOf(line)
            if (piece != null) {
                arrivalNanos += System.nanoTime()
                text.append(piece)
            }
            complete = complete || USAGE in line
        }
        check(complete && arrivalNanos.isNotEmpty()) { "the stream ended early after ${arrivalNanos.size} pieces" }
        return TimedAnswer(
            firstNanos = arrivalNanos.first() - startNanos,
            totalNanos = System.nanoTime() - startNanos,
            gapNanos = arrivalNanos.zipWithNext { before, after -> after - before },
            text = text.toString(),
        )
    }

    /** Finds the content by text search to keep a JSON parser out of the timed path. The stand-ins' answers contain no escapes. */
    private fun contentOf(line: String): String? {
        val start = line.indexOf(CONTENT)
        if (start < 0) return null
        val contentStart = start + CONTENT.length
        return line.substring(contentStart, line.indexOf('"', contentStart)).ifEmpty { null }
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
    callPosition: ProgramPosition?,
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
        if (callPosition != null) {
            putJsonObject("lavendertrail") {
                put("program", callPosition.program)
                put("position", callPosition.position)
            }
        }
    }.toString()
