package lavendertrail.why

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant
import java.time.format.DateTimeParseException

/** A structured log line of one process. [fields] keeps the order in which the fields were written. */
internal data class LogLine(
    val time: Instant,
    val node: String,
    val event: String,
    val fields: Map<String, JsonElement>,
) {
    val request: String? get() = stringField("request")
    val program: String? get() = stringField("program")

    fun stringField(name: String): String? = (fields[name] as? JsonPrimitive)?.content
}

/** Parses a log line and ignores any prefix that a log collector put before the JSON object. Returns null for any other line. */
internal fun parseLogLine(text: String): LogLine? {
    val start = text.indexOf('{')
    if (start < 0) return null
    return try {
        val fields = Json.parseToJsonElement(text.substring(start)) as? JsonObject ?: return null
        LogLine(
            time = Instant.parse(fields.stringOrNull("time") ?: return null),
            node = fields.stringOrNull("node") ?: return null,
            event = fields.stringOrNull("event") ?: return null,
            fields = fields - HEADER_FIELDS,
        )
    } catch (_: SerializationException) {
        // A truncated line or a line of another program; the caller counts these.
        null
    } catch (_: DateTimeParseException) {
        null
    }
}

private val HEADER_FIELDS = setOf("time", "node", "event")

private fun JsonObject.stringOrNull(name: String): String? = (this[name] as? JsonPrimitive)?.content
