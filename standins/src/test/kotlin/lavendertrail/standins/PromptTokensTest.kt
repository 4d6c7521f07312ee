package lavendertrail.standins

import lavendertrail.model.Message
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PromptTokensTest {
    @Test
    fun `a token is 4 bytes of UTF-8 and a message has 4 more`() {
        assertEquals(listOf(0, 1, 1, 2, 1, 1, 1), listOf("", "a", "abcd", "abcde", "äö", "✓", "𝄞").map(::textTokens))
        assertEquals(4 + 2, messageTokens(Message("user", "hello")))
    }

    /** Guards against engines that use more tokens than callers reserve, which could exceed a budget. */
    @Property
    fun `tokens never exceed bytes plus the message overhead`(
        @ForAll text: String,
    ) {
        assertTrue(messageTokens(Message("user", text)) <= text.toByteArray().size + 4)
    }
}
