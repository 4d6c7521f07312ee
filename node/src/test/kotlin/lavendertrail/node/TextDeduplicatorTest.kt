package lavendertrail.node

import lavendertrail.peer.SubmitReply
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against text that a caller gets twice, or from two different answers, after its owner node was lost. */
class TextDeduplicatorTest {
    private fun passed(
        base: Long,
        vararg texts: Pair<Long, String>,
    ): List<Pair<Long, String>> {
        val passed = TextDeduplicator(base)
        return texts.mapNotNull { (offset, text) -> passed.undelivered(SubmitReply.Text(offset, text)) }.map { it.offsetBytes to it.text }
    }

    @Test
    fun `text that follows is passed on as it is`() = assertEquals(listOf(0L to "ab", 2L to "cd"), passed(0, 0L to "ab", 2L to "cd"))

    @Test
    fun `repeated text is passed on once`() =
        assertEquals(listOf(0L to "abcd", 4L to "ef"), passed(0, 0L to "abcd", 0L to "ab", 2L to "cdef"))

    @Test
    fun `other text takes back what differs`() = assertEquals(listOf(0L to "abcd", 2L to "xy"), passed(0, 0L to "abcd", 0L to "abxy"))

    @Test
    fun `a difference inside a character starts at the character`() =
        assertEquals(listOf(0L to "aé", 1L to "è"), passed(0, 0L to "aé", 0L to "aè"))

    @Test
    fun `empty text takes back what follows its offset`() =
        assertEquals(listOf(0L to "abcd", 2L to "", 2L to "cd"), passed(0, 0L to "abcd", 2L to "", 2L to "cd"))

    @Test
    fun `a caller that asked from an offset gets nothing before it`() =
        assertEquals(listOf(10L to "ab", 12L to "c"), passed(10, 10L to "ab", 10L to "abc"))
}
