package lavendertrail.why

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant
import java.time.format.DateTimeParseException

/** A structured log line of one process. [fields] are in the order in which they were written. */
internal data class LogLine(
    val time: Instant,
    val node: String,
    val event: String,
    val fields: Map<String, JsonElement>,
) {
    val request: String? get() = text("request")
    val program: String? get() = text("program")

    fun text(name: String): String? = (fields[name] as? JsonPrimitive)?.content
}

/** Reads one line of a log. What a collector puts before the JSON object is passed over; null where there is no whole line. */
internal fun parseLogLine(text: String): LogLine? {
    val start = text.indexOf('{')
    if (start < 0) return null
    return try {
        val fields = Json.parseToJsonElement(text.substring(start)) as? JsonObject ?: return null
        LogLine(
            time = Instant.parse(fields.content("time") ?: return null),
            node = fields.content("node") ?: return null,
            event = fields.content("event") ?: return null,
            fields = fields - NAMED_FIELDS,
        )
    } catch (_: SerializationException) {
        // A line that was cut off, or one of another program; the caller counts these.
        null
    } catch (_: DateTimeParseException) {
        null
    }
}

private val NAMED_FIELDS = setOf("time", "node", "event")

private fun JsonObject.content(name: String): String? = (this[name] as? JsonPrimitive)?.content
