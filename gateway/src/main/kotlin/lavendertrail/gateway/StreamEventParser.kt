package lavendertrail.gateway

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/**
 * Splits an event stream (`text/event-stream`) into complete events. Lines may end with LF or CR LF. Bytes after the last
 * complete event are buffered until the event is complete.
 */
internal class StreamEventParser {
    private var pending = ByteArrayOutputStream()
    private var lineLengthBytes = 0

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = pending.size() > 0

    val partialEventBytes: Int get() = pending.size()

    /** Consumes [bytes] and returns the events that they complete. */
    fun parse(bytes: ByteBuf): List<StreamEvent> {
        val events = mutableListOf<StreamEvent>()
        while (bytes.isReadable) {
            val byte = bytes.readByte()
            pending.write(byte.toInt())
            when (byte) {
                LINE_FEED -> {
                    if (lineLengthBytes == 0) completeEvent()?.let { events += it }
                    lineLengthBytes = 0
                }
                CARRIAGE_RETURN -> Unit
                else -> lineLengthBytes++
            }
        }
        return events
    }

    private fun completeEvent(): StreamEvent? {
        val bytes = pending.toByteArray()
        pending = ByteArrayOutputStream()
        val lines = String(bytes, Charsets.UTF_8).lineSequence().filter { it.isNotEmpty() }.toList()
        val data = lines.mapNotNull { it.field("data") }
        return StreamEvent(
            bytes = bytes,
            id = lines.firstNotNullOfOrNull { it.field("id") },
            data = if (data.isEmpty()) null else data.joinToString("\n"),
        )
    }

    private fun String.field(name: String): String? {
        if (!startsWith("$name:")) return null
        val value = substring(name.length + 1)
        return value.removePrefix(" ")
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
