package lavendertrail.dispatch

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import java.util.TreeMap
import kotlin.test.assertEquals

class SortedTreeTest {
    /** Guards against a tree that loses or reorders entries when it is rebalanced, or that degenerates. */
    @Property(seed = "11", tries = 300)
    fun `the tree behaves like a TreeMap`(
        @ForAll keys: List<Short>,
    ) {
        val expected = TreeMap<Int, Int>()
        var tree = SortedTree<Int, Int>()
        for (key in keys.map { it.toInt() % 50 }) {
            if (key >= 0 || -key !in expected) {
                expected[key] = key * 2
                tree = tree.put(key, key * 2)
            } else {
                expected.remove(-key)
                tree = tree.remove(-key)
            }
            assertEquals(expected.size, tree.size)
            assertEquals(expected.firstEntry()?.key, tree.firstKey())
            assertEquals(expected.lastEntry()?.value, tree.last())
        }
        assertEquals(expected.values.toList(), tree.values())
    }
}
