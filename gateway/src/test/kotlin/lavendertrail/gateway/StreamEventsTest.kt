package lavendertrail.gateway

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against events that are split, merged or given the wrong data by the parser. */
class StreamEventsTest {
    private val text = "id: 1\ndata: one\n\nid: 2\r\ndata: a\r\ndata:b\r\n\r\n: comment\n\n"

    @Test
    fun `events are complete whatever the chunk size of the input`() {
        for (size in 1..text.length) {
            val parser = StreamEventParser()
            val events = text.chunked(size).flatMap { parser.parse(Unpooled.copiedBuffer(it, Charsets.UTF_8)) }
            assertEquals(listOf("1", "2", null), events.map { it.id }, "chunks of $size")
            assertEquals(listOf("one", "a\nb", null), events.map { it.data }, "chunks of $size")
            assertEquals(text, events.joinToString("") { String(it.bytes) }, "chunks of $size")
            assertFalse(parser.hasPartialEvent)
        }
    }

    @Test
    fun `an incomplete event is not returned`() {
        val parser = StreamEventParser()
        assertEquals(emptyList(), parser.parse(Unpooled.copiedBuffer("id: 1\ndata: on", Charsets.UTF_8)))
        assertTrue(parser.hasPartialEvent)
    }
}
