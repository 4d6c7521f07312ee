package lavendertrail.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a budget that is exceeded because copies of its usage on several hosts differ. */
class BudgetTallyTest {
    @Test
    fun `copies merge to the same tally in any order`() {
        val first = BudgetTally(mapOf("a" to TokenUse(40, isSettled = false), "b" to TokenUse(8, isSettled = true)))
        val second = BudgetTally(mapOf("a" to TokenUse(12, isSettled = true), "c" to TokenUse(20, isSettled = false)))
        assertEquals(first.merge(second), second.merge(first))
        assertEquals(40, first.merge(second).totalTokens)
    }

    @Test
    fun `a reservation that arrives after its settlement changes nothing`() {
        val settled = TokenUse(12, isSettled = true)
        assertEquals(settled, settled.merge(TokenUse(40, isSettled = false)))
    }

    @Test
    fun `reservations count in full until they are settled`() {
        val tally = BudgetTally(mapOf("a" to TokenUse(60, isSettled = false), "b" to TokenUse(60, isSettled = false)))
        assertTrue(tally.allows(120))
        assertFalse(tally.allows(119))
    }
}
