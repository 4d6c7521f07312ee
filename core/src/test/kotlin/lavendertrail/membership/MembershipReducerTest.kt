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

    private fun settled() = MembershipHarness().apply { run(3_000) }

    private fun MembershipHarness.assertEachOwnedOnce() =
        partitions().forEach { assertEquals(1, activeOwners(it).size, "owners of partition $it: ${activeOwners(it)}") }

    /** Guards against partitions that no node serves, or two, after a first start. */
    @Test
    fun `each partition gets exactly one owner and two journal nodes in two failure domains`() {
        val harness = settled()

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

    /** Guards against a takeover that is too slow for the goal of 3 s, of which recovery needs a part. */
    @Test
    fun `the partitions of a dead node are taken over within 2,5 s`() {
        val harness = settled()
        harness.stopped += n2
        harness.run(2_500)

        harness.assertEachOwnedOnce()
        harness.records.values.forEach { (record, _) -> assertFalse(n2 in record.journalNodes) }
    }

    /** Guards against a node that keeps deciding after a pause in which others took over. */
    @Test
    fun `a node that wakes after a takeover drops what it owned`() {
        val harness = settled()
        harness.stopped += n2
        harness.run(3_000)
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

    /** Guards against a healthy node that loses its partitions because one observer has a bad link to it. */
    @Test
    fun `one observer alone takes nothing over`() {
        val harness = settled()
        val before = harness.records.toMap()
        harness.cutPairs += setOf(n1, n2)
        harness.run(10_000)

        assertEquals(before, harness.records.toMap())
    }

    /** Guards against a node that is cut off, takes all others for dead and takes over their partitions. */
    @Test
    fun `an isolated node takes nothing over`() {
        val harness = MembershipHarness(nodeCount = 6).apply { run(3_000) }
        val others = harness.nodes.keys - n1
        others.forEach { harness.cutPairs += setOf(n1, it) }
        harness.run(5_000)

        harness.partitions().forEach { partition ->
            assertFalse(
                harness.records
                    .getValue(partition)
                    .first.ownerNode == n1,
                "n1 owns $partition after it was cut off",
            )
        }
    }

    /** Guards against ownership that changes, or is dropped, only because the key-value service is down. */
    @Test
    fun `an outage of the service changes no owner`() {
        val harness = settled()
        val before = harness.partitions().map { harness.activeOwners(it) }
        harness.serviceUp = false
        harness.run(600_000)

        assertEquals(before, harness.partitions().map { harness.activeOwners(it) })
    }

    /** Guards against all nodes being taken for dead when the service returns without their leases. */
    @Test
    fun `lapsed leases of reachable nodes change no owner`() {
        val harness = settled()
        val swaps = harness.swaps
        harness.listed.clear()
        harness.listAll()
        harness.run(10_000)

        assertEquals(swaps, harness.swaps)
    }

    /** Guards against a claim that took effect but whose answer was lost: it must neither be lost nor made twice. */
    @Test
    fun `lost answers of compare-and-swap are settled by reading back`() {
        val harness = MembershipHarness().apply { loseSwapAnswers = true }
        harness.run(10_000)

        harness.assertEachOwnedOnce()
        harness.records.values.forEach { (record, _) -> assertEquals(1, record.epoch) }
    }

    /** Guards against a shutdown that leaves partitions without an owner until failure detection. */
    @Test
    fun `a node that shuts down hands its drained partitions over`() {
        val harness = settled()
        harness.deliver(n3, ShutdownRequested)
        harness.partitions().forEach { harness.deliver(n3, PartitionDrained(it)) }
        harness.run(1_000)

        assertTrue(harness.partitions().none { n3 in harness.activeOwners(it) })
        harness.assertEachOwnedOnce()
    }

    /** Guards against a journal node with a full disk that answers probes and so is never replaced. */
    @Test
    fun `a journal that can't be written moves to another node`() {
        val harness = settled()
        val partition = PartitionId(0)
        val owner = harness.activeOwners(partition).single()
        val record = harness.records.getValue(partition).first
        val failing = record.journalNodes.last()
        harness.deliver(
            owner,
            HistoryAppendFailed(partition, record.epoch, 1, fenced = false, message = "disk full", journalNode = failing),
        )
        harness.run(1_000)

        val moved = harness.records.getValue(partition).first
        assertFalse(failing in moved.journalNodes)
        assertEquals(record.epoch + 1, moved.epoch)
        assertEquals(listOf(owner), harness.activeOwners(partition))
    }

    /** Guards against partitions that stand still because only one failure domain with disks is left. */
    @Test
    fun `two hosts of one failure domain hold a journal where no other domain is left`() {
        val harness = MembershipHarness(domains = listOf("sohar", "shinas"), nodeCount = 5).apply { run(3_000) }
        harness.stopped += listOf(n2, NodeId("n4"))
        harness.run(4_000)

        harness.assertEachOwnedOnce()
        harness.records.values.forEach { (record, _) -> assertEquals(2, record.journalNodes.distinct().size) }
    }

    /** Guards against a recovery that chooses a node with a full disk again and again. */
    @Test
    fun `a recovery goes to another journal node when one can't write`() {
        val harness = MembershipHarness(nodeCount = 5).apply { run(3_000) }
        harness.fullDisks += n1
        harness.stopped += n2
        harness.run(6_000)

        harness.assertEachOwnedOnce()
        val moved = harness.records.values.filter { (record, _) -> record.epoch > 1 }
        assertTrue(moved.isNotEmpty(), "no journal moved")
        assertTrue(moved.none { (record, _) -> n1 in record.journalNodes }, "journals written to a full disk")
    }
}
