package lavendertrail.membership

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import kotlin.test.Test
import kotlin.test.assertTrue

class RendezvousTest {
    private val partitions = (0 until PartitionId.COUNT).map(::PartitionId)

    private fun nodes(count: Int) = (1..count).map { NodeId("n$it") }

    /** Guards against one node being assigned far more programs than the others. */
    @Test
    fun `no node has more than 1,25 times the mean, rounded up`() {
        for (count in listOf(1, 2, 7, 9, 60, 210, 420)) {
            val loads = desiredOwners(partitions, nodes(count)).values.groupingBy { it }.eachCount()
            val maxLoad = kotlin.math.ceil(1.25 * partitions.size / count).toInt()
            assertTrue(loads.values.all { it <= maxLoad }, "loads at $count nodes: ${loads.values.max()} > $maxLoad")
        }
    }

    /** Guards against a takeover that moves many partitions of live nodes. */
    @Test
    fun `the loss of one of nine nodes moves at most a quarter of the partitions`() {
        val before = desiredOwners(partitions, nodes(9))
        val after = desiredOwners(partitions, nodes(8))
        val moved = partitions.count { before[it] != after[it] }

        assertTrue(moved <= partitions.size / 4, "moved $moved of ${partitions.size}")
    }
}
