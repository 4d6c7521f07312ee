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
 * Structured log lines, one JSON object each. Lines are handed to a writer thread over a bounded queue, so a reader of
 * standard output that stalls delays no request; lines that don't fit are counted, and the count is logged.
 */
public class StructuredLog(
    private val nodeName: String,
    private val nowEpochMillis: () -> Long = System::currentTimeMillis,
) {
    private val queue = ArrayBlockingQueue<String>(MAX_QUEUED)
    private val dropped = AtomicLong()
    private val recentProblems = HashMap<String, Long>()

    init {
        thread(name = "decision-log", isDaemon = true) { write() }
    }

    /** Lines that were dropped since the start. */
    public val droppedLines: Long get() = dropped.get()

    /** A decision or change of belief [event], with the inputs that [fields] adds. */
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
        if (!queue.offer(line.toString())) dropped.incrementAndGet()
    }

    /** A failed call to a peer; the same step at the same peer is logged once a second at most. */
    public fun warn(
        event: String,
        error: StepError,
    ) {
        val now = nowEpochMillis()
        val subject = "${error.step} ${error.peer}"
        synchronized(recentProblems) {
            if (now - (recentProblems[subject] ?: 0) < REPEAT_MILLIS) return
            if (recentProblems.size > MAX_SUBJECTS) recentProblems.clear()
            recentProblems[subject] = now
        }
        event(event) {
            put("level", "warn")
            put("step", error.step)
            put("peer", error.peer)
            put("error", error.message)
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

    private fun write() {
        var reported = 0L
        while (true) {
            val line = queue.poll(IDLE_MILLIS, TimeUnit.MILLISECONDS)
            if (line != null) Logger.info(line)
            val total = dropped.get()
            if (total > reported && queue.size < MAX_QUEUED / 2) {
                Logger.info(
                    """{"time":"${Instant.ofEpochMilli(
                        nowEpochMillis(),
                    )}","node":"$nodeName","event":"log lines dropped","total":$total}""",
                )
                reported = total
            }
        }
    }

    private companion object {
        /** About a second of lines at the highest load of an entry host. */
        const val MAX_QUEUED = 2_000
        const val IDLE_MILLIS = 1_000L
        const val REPEAT_MILLIS = 1_000L
        const val MAX_SUBJECTS = 1_000
        const val MAX_TRACE_CHARS = 2_000
    }
}
