package lavendertrail.membership

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.PartitionDrained
import lavendertrail.reducer.ShutdownRequested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class MembershipReducerTest {
    private val n1 = NodeId("n1")
    private val n2 = NodeId("n2")
    private val n3 = NodeId("n3")

    private fun settledHarness() = MembershipHarness().apply { runFor(3_000) }

    private fun MembershipHarness.assertEachOwnedOnce() =
        partitions().forEach { assertEquals(1, activeOwners(it).size, "owners of partition $it: ${activeOwners(it)}") }

    /** Guards against partitions with no owner or two owners after the first start. */
    @Test
    fun `each partition gets exactly one owner and two journal nodes in two failure domains`() {
        val harness = settledHarness()

        harness.assertEachOwnedOnce()
        harness.records.values.forEach { (record, _) ->
            assertEquals(
                2,
                record.journalNodes
                    .map {
                        harness.nodes
                            .getValue(it)
                            .self.failureDomain
                    }.distinct()
                    .size,
            )
        }
    }

    /** Guards against a takeover that exceeds the goal of 3 s; journal recovery needs part of that time. */
    @Test
    fun `the partitions of a dead node are taken over within 2,5 s`() {
        val harness = settledHarness()
        harness.stopped += n2
        harness.runFor(2_500)

        harness.assertEachOwnedOnce()
        harness.records.values.forEach { (record, _) -> assertFalse(n2 in record.journalNodes) }
    }

    /** Guards against a node that still acts as the owner after a pause during which other nodes took over. */
    @Test
    fun `a node that resumes after a takeover gives up its partitions`() {
        val harness = settledHarness()
        harness.stopped += n2
        harness.runFor(3_000)
        harness.stopped -= n2
        val stale =
            harness.partitions().first {
                harness.nodes
                    .getValue(n2)
                    .membership.owned[it]
                    ?.isActive == true
            }
        val owned =
            harness.nodes
                .getValue(n2)
                .membership.owned
                .getValue(stale)
        harness.deliver(n2, HistoryAppendFailed(stale, owned.epoch, 1, fenced = true, message = "sealed"))

        assertEquals(1, harness.activeOwners(stale).size)
        assertFalse(n2 in harness.activeOwners(stale))
    }

    /** Guards against a healthy node that loses its partitions because a single observer can't reach it. */
    @Test
    fun `a single observer takes over no partitions`() {
        val harness = settledHarness()
        val before = harness.records.toMap()
        harness.disconnectedPairs += setOf(n1, n2)
        harness.runFor(10_000)

        assertEquals(before, harness.records.toMap())
    }

    /** Guards against an isolated node that considers all others dead and takes over their partitions. */
    @Test
    fun `an isolated node takes over no partitions`() {
        val harness = MembershipHarness(nodeCount = 6).apply { runFor(3_000) }
        val others = harness.nodes.keys - n1
        others.forEach { harness.disconnectedPairs += setOf(n1, it) }
        harness.runFor(5_000)

        harness.partitions().forEach { partition ->
            assertFalse(
                harness.records
                    .getValue(partition)
                    .first.ownerNode == n1,
                "n1 owns $partition after it was isolated",
            )
        }
    }

    /** Guards against ownership that changes or is given up because the key-value service is unavailable. */
    @Test
    fun `an outage of the key-value service changes no owner`() {
        val harness = settledHarness()
        val before = harness.partitions().map { harness.activeOwners(it) }
        harness.serviceUp = false
        harness.runFor(600_000)

        assertEquals(before, harness.partitions().map { harness.activeOwners(it) })
    }

    /** Guards against all nodes being considered dead when their leases have expired during an outage of the key-value service. */
    @Test
    fun `expired leases of reachable nodes change no owner`() {
        val harness = settledHarness()
        val swapCount = harness.swapCount
        harness.listedNodes.clear()
        harness.deliverNodeList()
        harness.runFor(10_000)

        assertEquals(swapCount, harness.swapCount)
    }

    /** Guards against a claim that is lost or repeated after it took effect but its answer was lost. */
    @Test
    fun `a lost compare-and-swap answer is resolved by reading the record back`() {
        val harness = MembershipHarness().apply { loseSwapAnswers = true }
        harness.runFor(10_000)

        harness.assertEachOwnedOnce()
        harness.records.values.forEach { (record, _) -> assertEquals(1, record.epoch) }
    }

    /** Guards against a shutdown that leaves partitions without an owner until the failure detector notices. */
    @Test
    fun `a node that shuts down hands over its drained partitions`() {
        val harness = settledHarness()
        harness.deliver(n3, ShutdownRequested)
        harness.partitions().forEach { harness.deliver(n3, PartitionDrained(it)) }
        harness.runFor(1_000)

        assertTrue(harness.partitions().none { n3 in harness.activeOwners(it) })
        harness.assertEachOwnedOnce()
    }

    /** Guards against a journal node with a full disk that is never replaced because it still answers probes. */
    @Test
    fun `a journal that can't be written moves to another node`() {
        val harness = settledHarness()
        val partition = PartitionId(0)
        val owner = harness.activeOwners(partition).single()
        val record = harness.records.getValue(partition).first
        val failing = record.journalNodes.last()
        harness.deliver(
            owner,
            HistoryAppendFailed(partition, record.epoch, 1, fenced = false, message = "disk full", journalNode = failing),
        )
        harness.runFor(1_000)

        val moved = harness.records.getValue(partition).first
        assertFalse(failing in moved.journalNodes)
        assertEquals(record.epoch + 1, moved.epoch)
        assertEquals(listOf(owner), harness.activeOwners(partition))
    }

    /** Guards against partitions without a journal when only one failure domain with disks is left. */
    @Test
    fun `two hosts of one failure domain hold a journal where no other domain is left`() {
        val harness = MembershipHarness(domains = listOf("sohar", "shinas"), nodeCount = 5).apply { runFor(3_000) }
        harness.stopped += listOf(n2, NodeId("n4"))
        harness.runFor(4_000)

        harness.assertEachOwnedOnce()
        harness.records.values.forEach { (record, _) -> assertEquals(2, record.journalNodes.distinct().size) }
    }

    /** Guards against a recovery that repeatedly chooses a node with a full disk. */
    @Test
    fun `a recovery uses another journal node when one can't write`() {
        val harness = MembershipHarness(nodeCount = 5).apply { runFor(3_000) }
        harness.nodesWithFullDisk += n1
        harness.stopped += n2
        harness.runFor(6_000)

        harness.assertEachOwnedOnce()
        val moved = harness.records.values.filter { (record, _) -> record.epoch > 1 }
        assertTrue(moved.isNotEmpty(), "no journal moved")
        assertTrue(moved.none { (record, _) -> n1 in record.journalNodes }, "journals written to a full disk")
    }
}
