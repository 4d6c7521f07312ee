package lavendertrail.adapters

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import lavendertrail.http.withIdleLimit
import lavendertrail.model.StepError
import lavendertrail.ports.WatchBatch
import org.http4k.core.Request
import org.http4k.core.Response
import java.io.IOException
import kotlin.concurrent.thread

/** One open watch, read by a dedicated thread until it ends or is closed. A progress notification becomes an empty batch. */
internal class HttpWatch(
    private val peer: JsonPeer,
    private val request: Request,
    private val idleLimitMillis: Long,
    private val onBatch: (WatchBatch) -> Unit,
    private val onEnd: (StepError) -> Unit,
) : AutoCloseable {
    @Volatile
    private var closed = false

    @Volatile
    private var response: Response? = null

    fun start() {
        thread(isDaemon = true, name = "watch ${peer.address}") { run() }
    }

    override fun close() {
        closed = true
        response?.close()
    }

    private fun run() {
        val reason =
            try {
                readMessages()
            } catch (e: IOException) {
                if (e.isTimeout) "nothing came for $idleLimitMillis ms" else e.message.orEmpty()
            } catch (e: IllegalArgumentException) {
                "malformed message: ${e.message}"
            }
        response?.close()
        if (!closed) onEnd(peer.error(STEP, reason))
    }

    /** Reads messages until the stream ends and returns the reason why it ended. */
    private fun readMessages(): String {
        val opened = peer.open(request.withIdleLimit(idleLimitMillis))
        response = opened
        if (closed) return "closed"
        if (opened.status.code !in JsonPeer.SUCCESS) return "status ${opened.status.code}"
        opened.body.stream.bufferedReader().use { lines ->
            while (!closed) {
                val line = lines.readLine() ?: return "the service ended the watch"
                if (line.isNotBlank()) handleMessage(wireJson.parseToJsonElement(line).jsonObject)?.let { return it }
            }
        }
        return "closed"
    }

    /** Passes on the batch of [message]. Returns a reason to end the watch, or null. */
    private fun handleMessage(message: JsonObject): String? {
        val result = message.child("result") ?: return "the service reported the error ${message["error"]}"
        if (result.flag("canceled")) {
            return "the service cancelled the watch; it has dropped all changes before revision ${result.long("compact_revision")}"
        }
        if (!result.flag("created") && !closed) onBatch(result.toBatch())
        return null
    }

    private fun JsonObject.toBatch(): WatchBatch {
        val events = objects("events")
        return WatchBatch(
            changed = events.filter { it.text("type") != DELETE }.mapNotNull { it.child("kv")?.toKeyValue() },
            deletedKeys = events.filter { it.text("type") == DELETE }.mapNotNull { it.child("kv")?.toKeyValue()?.key },
            revision = headerRevision,
        )
    }

    private companion object {
        const val STEP = "key-value watch"
        const val DELETE = "DELETE"
    }
}
