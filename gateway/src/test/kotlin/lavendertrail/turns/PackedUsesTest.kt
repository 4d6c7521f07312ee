package lavendertrail.turns

import lavendertrail.serving.TokenUse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Guards against budgets that are miscounted because of an encoding error, and against large replies. */
class PackedUsesTest {
    private val uses =
        listOf(
            UseRecord("p", "9c41d07be2a35f68", 0, isSettled = true, 1),
            UseRecord("p", "é", 136, isSettled = true, 1),
            UseRecord("p", "", 0, isSettled = false, 1),
            UseRecord("p", "x".repeat(40_000), Int.MAX_VALUE, isSettled = true, 1),
            UseRecord("p", "y", Int.MAX_VALUE, isSettled = false, 1),
        )

    @Test
    fun `packed uses are unpacked unchanged`() {
        assertEquals(uses.associate { it.attemptId to it.tokenUse }, unpackUses(packUses(uses))?.entries)
        assertEquals(emptyMap<String, TokenUse>(), unpackUses(packUses(emptyList()))?.entries)
    }

    @Test
    fun `data that ends within a use is rejected`() {
        val packed = packUses(uses.take(2))
        for (size in listOf(1, 5, 15, packed.size - 1)) {
            assertNull(unpackUses(packed.copyOf(size)), "$size bytes")
        }
    }

    @Test
    fun `three hundred attempts take less than seven kilobytes`() {
        val many = (1..300).map { UseRecord("p", "%016x".format(it), 136, isSettled = false, 1) }
        assertTrue(packUses(many).size < 7_000)
    }
}
