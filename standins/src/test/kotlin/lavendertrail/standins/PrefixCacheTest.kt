package lavendertrail.standins

import kotlin.test.Test
import kotlin.test.assertEquals

class PrefixCacheTest {
    private val events = mutableListOf<String>()
    private val cache = PrefixCache(100) { prefix, stored -> events.add("${if (stored) "+" else "-"}${prefix.chainHash}") }

    private fun chain(vararg hashes: String): List<CachedPrefix> = hashes.map { CachedPrefix(it, 20) }

    /** Guards against evicting the start of a chain, which makes the rest of it unusable. */
    @Test
    fun `the end of the least recently used chain is evicted first`() {
        cache.store(chain("a1", "a2", "a3"))
        cache.markUsed(listOf("a1", "a2", "a3"))
        cache.store(chain("b1", "b2"))
        cache.markUsed(listOf("b1", "b2"))
        cache.store(chain("c1"))
        assertEquals(listOf("+a1", "+a2", "+a3", "+b1", "+b2", "-a3", "+c1"), events)
        assertEquals(100, cache.usedTokens)
    }

    /** Guards against evicting entries that a running call or a pin needs, and against holds that are never released. */
    @Test
    fun `held entries stay and count until each hold is released`() {
        cache.store(chain("a1", "a2", "a3", "a4", "a5"))
        val first = cache.hold(listOf("a1", "a2", "a3", "a4", "missing"))
        val second = cache.hold(listOf("a1"))
        assertEquals(80, cache.heldTokens)
        cache.store(chain("b1", "b2"))
        assertEquals(listOf("-a5", "+b1"), events.drop(5).take(2))
        assertEquals(listOf(true, true, true, true), listOf("a1", "a2", "a3", "a4").map { it in cache })
        cache.release(first)
        assertEquals(20, cache.heldTokens)
        cache.release(second)
        assertEquals(0, cache.heldTokens)
    }
}
