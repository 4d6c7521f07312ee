package lavendertrail.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import lavendertrail.settings.LogSettings
import org.tinylog.configuration.Configuration
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer
import java.io.PrintStream

/** Must be called before the first line is logged, because tinylog reads its configuration only once. */
internal fun configureLogs(settings: LogSettings) {
    Configuration.set("level", settings.level)
    if (settings.format == "json") Configuration.set("writer", "json lines")
}

/** One log line in JSON mode. [part] is the prefix of the message, such as `api`. */
@Serializable
internal data class LogLine(
    val at: String,
    val level: String,
    val part: String,
    val message: String,
    val fault: String? = null,
)

/** Writes each entry as one JSON object to standard error. Registered with tinylog under the name `json lines`. */
public class JsonLinesWriter internal constructor(
    private val output: PrintStream,
) : Writer {
    public constructor(
        @Suppress("UNUSED_PARAMETER") properties: Map<String, String>,
    ) : this(System.err)

    private val json = Json { explicitNulls = false }

    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        listOf(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(entry: LogEntry) {
        val message = entry.message.orEmpty()
        val prefix = message.substringBefore(": ", "")
        val part = prefix.takeIf { it.isNotEmpty() && it.all(Char::isLetter) }
        val line =
            LogLine(
                at = entry.timestamp.toInstant().toString(),
                level = entry.level.name.lowercase(),
                part = part ?: "node",
                message = if (part == null) message else message.removePrefix("$part: "),
                fault = entry.exception?.stackTraceToString(),
            )
        output.println(json.encodeToString(LogLine.serializer(), line))
    }

    override fun flush(): Unit = output.flush()

    override fun close(): Unit = output.flush()
}
