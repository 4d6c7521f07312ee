package lavendertrail.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import lavendertrail.history.sha256Hex
import lavendertrail.membership.NodeRecord
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce
import java.io.BufferedWriter
import java.io.File

/** First line of an event log, from which the state before the first event is built. */
@Serializable
internal data class EventLogHead(
    val self: NodeRecord,
    val settings: ReducerSettings,
)

/** Last line of an event log of a process that shut down cleanly. */
@Serializable
internal data class EventLogEnd(
    val events: Long,
    val stateSha256: String,
)

private const val END_PREFIX = "end "

private val logJson = Json { encodeDefaults = true }

/** Writes each [TimedEvent] as one JSON line, so that [replay] can repeat the decisions of the node. */
internal class EventRecorder(
    file: File,
) {
    private val writer: BufferedWriter = file.bufferedWriter()
    private var events = 0L

    fun begin(state: NodeState): Unit = writeLine(logJson.encodeToString(EventLogHead(state.self, state.settings)))

    fun record(timed: TimedEvent) {
        events++
        writeLine(logJson.encodeToString(timed))
    }

    fun end(state: NodeState) {
        writeLine(END_PREFIX + logJson.encodeToString(EventLogEnd(events, state.digest())))
        writer.close()
    }

    private fun writeLine(text: String) {
        writer.write(text)
        writer.newLine()
    }
}

/** Outcome of [replay]; [recorded] is null for a log without an end line, as a killed process leaves it. */
internal data class Replay(
    val state: NodeState,
    val events: Long,
    val recorded: EventLogEnd?,
) {
    val matchesRecording: Boolean get() = recorded == null || (recorded.events == events && recorded.stateSha256 == state.digest())
}

/** Applies a recorded event log again. */
internal fun replay(file: File): Replay =
    file.useLines { lines ->
        val iterator = lines.iterator()
        require(iterator.hasNext()) { "event log '$file' is empty" }
        val head = logJson.decodeFromString<EventLogHead>(iterator.next())
        var state = NodeState(head.self, head.settings)
        var events = 0L
        var recorded: EventLogEnd? = null
        while (iterator.hasNext()) {
            val line = iterator.next()
            if (line.startsWith(END_PREFIX)) {
                recorded = logJson.decodeFromString<EventLogEnd>(line.removePrefix(END_PREFIX))
            } else {
                state = reduce(state, logJson.decodeFromString<TimedEvent>(line)).state
                events++
            }
        }
        Replay(state, events, recorded)
    }

/**
 * Hash of the state's string form. Persistent maps with enum keys order their entries by identity hash, which differs
 * between processes; sorting the characters makes the hash independent of that order. Objects without a `toString` of their
 * own print an identity hash too, which is removed.
 */
internal fun NodeState.digest(): String =
    sha256Hex(
        toString()
            .replace(IDENTITY_HASH, "")
            .toCharArray()
            .apply { sort() }
            .concatToString(),
    )

private val IDENTITY_HASH = Regex("@[0-9a-f]{1,8}")
