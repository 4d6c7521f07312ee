package lavendertrail.gateway

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import lavendertrail.model.StepError
import org.tinylog.kotlin.Logger
import java.time.Instant
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Writes structured log lines, one JSON object per line. A writer thread takes the lines from a bounded queue, so that a
 * stalled reader of standard output doesn't block request processing. Lines that don't fit into the queue are dropped; their
 * number is logged.
 */
public class StructuredLog(
    private val nodeName: String,
    private val nowEpochMillis: () -> Long = System::currentTimeMillis,
) {
    private val queue = ArrayBlockingQueue<String>(MAX_QUEUED_LINES)
    private val droppedCount = AtomicLong()
    private val lastWarningMillis = HashMap<String, Long>()

    init {
        thread(name = "decision-log", isDaemon = true) { writeLines() }
    }

    /** The number of lines dropped since the process started. */
    public val droppedLines: Long get() = droppedCount.get()

    /** Logs a decision or state change named [event], with the data that [fields] adds. */
    public fun event(
        event: String,
        fields: JsonObjectBuilder.() -> Unit = {},
    ) {
        val line =
            buildJsonObject {
                put("time", Instant.ofEpochMilli(nowEpochMillis()).toString())
                put("node", nodeName)
                put("event", event)
                fields()
            }
        if (!queue.offer(line.toString())) droppedCount.incrementAndGet()
    }

    /** Logs a failed call to a peer with the data that [fields] adds, at most once per second for the same step and peer. */
    public fun warn(
        event: String,
        error: StepError,
        fields: JsonObjectBuilder.() -> Unit = {},
    ) {
        val now = nowEpochMillis()
        val key = "${error.step} ${error.peer}"
        synchronized(lastWarningMillis) {
            if (now - (lastWarningMillis[key] ?: 0) < WARNING_INTERVAL_MILLIS) return
            if (lastWarningMillis.size > MAX_WARNING_KEYS) lastWarningMillis.clear()
            lastWarningMillis[key] = now
        }
        event(event) {
            put("level", "warn")
            // The error first: collectors may cut long lines, and steps may be long.
            put("error", error.message)
            put("peer", error.peer)
            put("step", error.step)
            fields()
        }
    }

    public fun error(
        event: String,
        cause: Throwable,
    ) {
        event(event) {
            put("level", "error")
            put("error", JsonPrimitive(cause.stackTraceToString().take(MAX_TRACE_CHARS)))
        }
    }

    private fun writeLines() {
        var reportedCount = 0L
        while (true) {
            val line = queue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            if (line != null) Logger.info(line)
            val total = droppedCount.get()
            if (total > reportedCount && queue.size < MAX_QUEUED_LINES / 2) {
                Logger.info(
                    """{"time":"${Instant.ofEpochMilli(
                        nowEpochMillis(),
                    )}","node":"$nodeName","event":"log lines dropped","total":$total}""",
                )
                reportedCount = total
            }
        }
    }

    private companion object {
        /** About one second of lines at the highest load of an entry host. */
        const val MAX_QUEUED_LINES = 2_000
        const val POLL_TIMEOUT_MILLIS = 1_000L
        const val WARNING_INTERVAL_MILLIS = 1_000L
        const val MAX_WARNING_KEYS = 1_000
        const val MAX_TRACE_CHARS = 2_000
    }
}
