package lavendertrail.node

import lavendertrail.peer.SubmitReply
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against text that a caller receives twice, or from two different answers, after the loss of its owner node. */
class TextDeduplicatorTest {
    private fun undelivered(
        startByte: Long,
        vararg texts: Pair<Long, String>,
    ): List<Pair<Long, String>> {
        val deduplicator = TextDeduplicator(startByte)
        val delivered = texts.mapNotNull { (offset, text) -> deduplicator.undelivered(SubmitReply.Text(offset, text)) }
        return delivered.map { it.offsetBytes to it.text }
    }

    @Test
    fun `consecutive text is delivered unchanged`() = assertEquals(listOf(0L to "ab", 2L to "cd"), undelivered(0, 0L to "ab", 2L to "cd"))

    @Test
    fun `repeated text is delivered once`() =
        assertEquals(listOf(0L to "abcd", 4L to "ef"), undelivered(0, 0L to "abcd", 0L to "ab", 2L to "cdef"))

    @Test
    fun `other text replaces what differs`() = assertEquals(listOf(0L to "abcd", 2L to "xy"), undelivered(0, 0L to "abcd", 0L to "abxy"))

    @Test
    fun `a difference inside a character starts at the character`() =
        assertEquals(listOf(0L to "aé", 1L to "è"), undelivered(0, 0L to "aé", 0L to "aè"))

    @Test
    fun `empty text retracts what follows its offset`() =
        assertEquals(listOf(0L to "abcd", 2L to "", 2L to "cd"), undelivered(0, 0L to "abcd", 2L to "", 2L to "cd"))

    @Test
    fun `a caller that asked from an offset gets nothing before it`() =
        assertEquals(listOf(10L to "ab", 12L to "c"), undelivered(10, 10L to "ab", 10L to "abc"))
}
