package lavendertrail.gateway

import lavendertrail.turns.EventMarks
import lavendertrail.turns.TurnRecord
import java.io.ByteArrayOutputStream

/** The output of a turn as its caller gets it: the data of the events, each followed by a line feed, and where each event ends. */
internal class TurnOutput {
    private val text = ByteArrayOutputStream()
    private val eventIds = mutableListOf<String>()
    private val eventEnds = mutableListOf<Int>()

    val sizeBytes: Int get() = text.size()
    val marks: EventMarks get() = EventMarks(eventIds.toList(), eventEnds.toList())

    fun add(event: StreamEvent) {
        if (event.data != null) {
            text.write(event.data.toByteArray())
            text.write(LINE_FEED)
        }
        if (event.id != null) mark(event.id, text.size())
    }

    /** Begins with the output of [turn], which the caller has from earlier attempts. */
    fun addEarlier(turn: TurnRecord) {
        text.write(turn.output)
        val marks = turn.eventMarks ?: return
        marks.ids.zip(marks.ends).forEach { (id, end) -> mark(id, end) }
    }

    private fun mark(
        eventId: String,
        endOffset: Int,
    ) {
        eventIds += eventId
        eventEnds += endOffset
    }

    fun toByteArray(): ByteArray = text.toByteArray()

    private companion object {
        const val LINE_FEED = 10
    }
}
