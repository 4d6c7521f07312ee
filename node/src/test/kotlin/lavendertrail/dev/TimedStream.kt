package lavendertrail.dev

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import lavendertrail.history.sha256Hex
import lavendertrail.http.HttpClientLimits
import lavendertrail.http.httpClient
import org.http4k.core.Method
import org.http4k.core.Request
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue

/** One long stream through one node that records the arrival time of each chunk of text. */
internal class TimedStream(
    private val address: String,
    private val view: CallerView,
    private val maxTokens: Int = 300,
) {
    private val position = view.answers.size
    private val arrivals = ConcurrentLinkedQueue<Long>()
    private val end = CompletableFuture.runAsync(::read)

    val chunkCount: Int get() = arrivals.size

    /** Waits for the end of the stream; fails if the text is incomplete. */
    fun awaitEnd() {
        end.get(60, java.util.concurrent.TimeUnit.SECONDS)
    }

    /**
     * Time from [killNanos] to the end of the longest gap between chunks after it. The first chunk after the kill doesn't show
     * the recovery, because text that was already in flight when the owner node died arrives right after the kill.
     */
    fun recoveryMillis(killNanos: Long): Long {
        val after = listOf(killNanos) + arrivals.filter { it > killNanos }
        val resumed = after.zipWithNext().maxByOrNull { (before, next) -> next - before } ?: return -1
        return (resumed.second - killNanos) / 1_000_000
    }

    private fun read() {
        val text = StringBuilder()
        val request = Request(Method.POST, "http://$address/v1/chat/completions").header("Authorization", "Bearer barakah-desk-token")
        http(request.header("Content-Type", "application/json").body(body())).use { response ->
            check(response.status.code == 200) { "stream refused: ${response.bodyString()}" }
            val events = EventReader(response.body.stream.bufferedReader())
            while (true) {
                val event = checkNotNull(events.next()) { "the stream of ${view.program} ended without a final event" }
                check(event.name != "error") { "the stream of ${view.program} failed: ${event.data}" }
                check(event.name != "rewind") { "the stream of ${view.program} retracted text" }
                val data = Json.parseToJsonElement(event.data).jsonObject
                val delta =
                    data["choices"]
                        ?.jsonArray
                        ?.firstOrNull()
                        ?.jsonObject
                        ?.get("delta")
                        ?.jsonObject
                        ?.get("content")
                (delta as? JsonPrimitive)?.let {
                    arrivals.add(System.nanoTime())
                    text.append(it.content)
                }
                val outcome = if ("usage" in data) data["lavendertrail"]?.jsonObject else null
                if (outcome != null) return checkAndStore(text.toString(), outcome.getValue("text_sha256").jsonPrimitive.content)
            }
        }
    }

    private fun checkAndStore(
        text: String,
        sha256: String,
    ) {
        check(sha256Hex(text) == sha256) { "the stream of ${view.program} is incomplete: ${text.length} characters" }
        view.answers[position] = text
    }

    private fun body(): String =
        buildJsonObject {
            put("model", "permit-desk")
            put("max_tokens", maxTokens)
            put("stream", true)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", "a long answer for ${view.program}")
                }
            }
            putJsonObject("lavendertrail") {
                put("program", view.program)
                put("position", position)
            }
        }.toString()

    private companion object {
        val http = httpClient(HttpClientLimits(idleMillis = 30_000))
    }
}
