package lavendertrail.dev

import java.io.BufferedReader

/** One server-sent event; [name] is null for an event without an `event:` field. */
internal data class ServerEvent(
    val name: String?,
    val id: String?,
    val data: String,
)

/** Reads server-sent events one by one. */
internal class EventReader(
    private val lines: BufferedReader,
) {
    /** The next event, or null at the end of the stream. */
    fun next(): ServerEvent? {
        var name: String? = null
        var id: String? = null
        val data = mutableListOf<String>()
        while (true) {
            val line = lines.readLine() ?: return null
            when {
                line.isEmpty() -> if (data.isNotEmpty()) return ServerEvent(name, id, data.joinToString("\n"))
                line.startsWith("event:") -> name = line.removePrefix("event:").trim()
                line.startsWith("id:") -> id = line.removePrefix("id:").trim()
                line.startsWith("data:") -> data += line.removePrefix("data:").removePrefix(" ")
            }
        }
    }
}
