package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.PartitionRecoveryFailed
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

private val pair = listOf(nodeA, nodeB)

internal class JournalReplicatorTest {
    private val cluster = JournalCluster(listOf(nodeA, nodeB, nodeC))
    private val cut: MutableSet<NodeId> = ConcurrentHashMap.newKeySet()
    private val calls = AtomicInteger()
    private var delayMillis = 0L
    private val owner =
        cluster.owner { node, call ->
            calls.incrementAndGet()
            Thread.sleep(delayMillis)
            if (node in cut) throw IOException("$node is cut off") else call()
        }

    private fun failures() = owner.events.filterIsInstance<HistoryAppendFailed>()

    /** Guards against acknowledgements out of order, entries in another order, and one request per append. */
    @Test
    fun `appends are acknowledged in order when both copies have them`() {
        assertEquals(emptyList(), owner.recovered(1, emptyList(), pair))
        val before = calls.get()
        delayMillis = 5
        for (id in 1..200L) owner.append(1, id, "a$id")
        owner.awaitAcknowledged(200)
        assertEquals((1..200L).toList(), owner.acknowledgedIds())
        assertEquals((1..200L).map { record("a$it") }, cluster.records(nodeA))
        assertEquals(cluster.records(nodeA), cluster.records(nodeB))
        assertTrue(calls.get() - before < 100, "${calls.get() - before} requests for 200 appends on two copies")
        owner.close()
    }

    /** Guards against an acknowledgement of what only one copy has, and against a retry that repeats entries. */
    @Test
    fun `an append waits for a copy that is cut off and is reported once per limit`() {
        owner.recovered(1, emptyList(), pair)
        cut += nodeB
        owner.append(1, 1, "a", "b")
        owner.append(1, 2, "c")
        assertTrue(awaitTrue { failures().size >= 2 })
        assertEquals(emptyList(), owner.acknowledgedIds())
        assertEquals(3, cluster.records(nodeA).size)
        val failure = failures().first()
        assertEquals(listOf(1L, false, nodeB), listOf(failure.appendId, failure.fenced, failure.journalNode))
        assertContains(failure.message, "cut off")
        assertTrue(failures().size <= 3, "${failures().size} reports")
        cut -= nodeB
        owner.awaitAcknowledged(1, 2)
        assertEquals(listOf("a", "b", "c").map { record(it) }, cluster.records(nodeB))
        owner.close()
    }

    /** Guards against an old owner that acknowledges after a takeover. */
    @Test
    fun `an owner that resumes after a takeover is fenced`() {
        owner.recovered(1, emptyList(), pair)
        owner.append(1, 1, "a")
        owner.awaitAcknowledged(1)
        cut += pair
        owner.append(1, 2, "b")
        val successor = cluster.owner()
        assertEquals(listOf(record("a")), successor.recovered(2, pair, pair))
        cut.clear()
        assertTrue(awaitTrue { failures().any { it.fenced && it.appendId == 2L } })
        owner.append(1, 3, "c")
        assertTrue(awaitTrue { failures().any { it.fenced && it.appendId == 3L } })
        assertEquals(listOf(1L), owner.acknowledgedIds())
        successor.append(2, 1, "d")
        successor.awaitAcknowledged(1)
        assertEquals(listOf("a", "d").map { record(it) }, cluster.records(nodeB))
        owner.close()
        successor.close()
    }

    private class Case(
        val name: String,
        val expected: List<String>?,
        val prepare: (JournalReplicatorTest) -> Unit,
    )

    /** Guards against a recovery that loses what was acknowledged, or that goes on where it may have been lost. */
    @TestFactory
    fun `recovery on A and C after both copies acknowledged a and b`(): List<DynamicTest> =
        listOf(
            Case("both copies", listOf("a", "b")) {},
            Case("the first copy cut off", listOf("a", "b")) { it.sealOnly(nodeB) },
            Case("the second copy cut off", listOf("a", "b")) { it.cut += nodeB },
            Case("the second host replaced", listOf("a", "b")) { it.cluster.wipe(nodeB) },
            Case("both hosts replaced", null) { test -> pair.forEach(test.cluster::wipe) },
            Case("the first host replaced and the second cut off", null) {
                it.cluster.wipe(nodeA)
                it.cut += nodeB
            },
            Case("a longer copy", listOf("a", "b", "x")) { it.addTo(nodeB, "x") },
            Case("a new copy with another tail from an earlier epoch", listOf("a", "b")) { test ->
                test.cluster.stores
                    .getValue(
                        nodeC,
                    ).append(JournalAppend(partition, 1, listOf(entry(0, 1, "a"), entry(1, 1, "y"), entry(2, 1, "z")), create = true))
            },
            Case("a new copy that was filled in part only", listOf("a", "b")) { test ->
                test.cluster.stores
                    .getValue(nodeC)
                    .append(JournalAppend(partition, 1, listOf(entry(0, 1, "a")), create = true))
            },
            Case("a copy that is being refilled, alone", null) { test ->
                test.cluster.stores
                    .getValue(nodeA)
                    .append(JournalAppend(partition, 1, emptyList(), truncateTo = 1, attempt = 9))
                test.cut += nodeB
            },
            Case("a copy that is being refilled and a whole one", listOf("a", "b")) { test ->
                test.cluster.stores
                    .getValue(nodeA)
                    .append(JournalAppend(partition, 1, emptyList(), truncateTo = 1, attempt = 9))
            },
            Case("a new copy sealed at a higher epoch", null) { test ->
                test.cluster.stores
                    .getValue(nodeC)
                    .append(JournalAppend(partition, 7, emptyList(), create = true))
            },
        ).map { case -> dynamicTest(case.name) { JournalReplicatorTest().recoverAfter(case) } }

    private var journalNodes = listOf(nodeA, nodeC)

    private fun sealOnly(node: NodeId) {
        cut += pair - node
        journalNodes = listOf(node, nodeC)
    }

    private fun addTo(
        node: NodeId,
        label: String,
    ) {
        val store = cluster.stores.getValue(node)
        val attempt =
            (1..10L).first {
                store.append(JournalAppend(partition, 1, listOf(entry(2, 1, label)), attempt = it)) is JournalAnswer.Accepted
            }
        check(attempt > 0)
    }

    private fun recoverAfter(case: Case) {
        owner.recovered(1, emptyList(), pair)
        owner.append(1, 1, "a", "b")
        owner.awaitAcknowledged(1)
        case.prepare(this)
        val event = owner.recover(2, pair, journalNodes)
        if (case.expected == null) {
            assertIs<PartitionRecoveryFailed>(event)
        } else {
            assertIs<PartitionRecovered>(event)
            val expected = case.expected.map { record(it) }
            assertEquals(expected, event.records)
            journalNodes.forEach { assertEquals(expected, cluster.records(it)) }
            owner.append(2, 2, "next")
            owner.awaitAcknowledged(2)
        }
        owner.close()
    }

    /** Guards against a pair that stays unequal, and an owner that stops, after one copy lost entries not yet flushed. */
    @Test
    fun `a copy that lost its tail is refilled in the running epoch`() {
        owner.recovered(1, emptyList(), pair)
        for (id in 1..30L) owner.append(1, id, "a$id")
        owner.awaitAcknowledged(30)
        val shorter = memoryJournalStore()
        val whole = cluster.stores.getValue(nodeB)
        val attempt = 2L
        shorter.append(JournalAppend(partition, 1, whole.readAll().take(17), create = true, attempt = attempt))
        cluster.stores[nodeB] = shorter
        owner.append(1, 31, "a31")
        owner.awaitAcknowledged(31)
        assertEquals((1..31L).map { record("a$it") }, cluster.records(nodeB))
        assertEquals(cluster.records(nodeA), cluster.records(nodeB))
        assertTrue(shorter.copies().single().complete)
        assertEquals((1..31L).toList(), owner.acknowledgedIds())
        owner.close()
    }

    /** Guards against a replaced host that is filled by an owner whose seal it has lost. */
    @Test
    fun `a copy that is gone is not created again in the running epoch`() {
        owner.recovered(1, emptyList(), pair)
        cluster.wipe(nodeB)
        owner.append(1, 1, "a")
        assertTrue(awaitTrue { failures().isNotEmpty() })
        assertEquals(emptyList(), owner.acknowledgedIds())
        assertEquals(nodeB, failures().first().journalNode)
        assertEquals(emptyList(), cluster.stores.getValue(nodeB).copies())
        owner.close()
    }

    /** Guards against appends that are neither acknowledged nor failed. */
    @Test
    fun `appends that wait end when the partition is released or recovered again`() {
        owner.append(1, 1, "a")
        owner.recovered(1, emptyList(), pair)
        cut += nodeB
        owner.append(1, 2, "b")
        owner.replicator.release(partition)
        owner.append(1, 3, "c")
        cut -= nodeB
        owner.recovered(2, pair, pair)
        cut += nodeB
        owner.append(2, 4, "d")
        owner.replicator.recover(lavendertrail.reducer.RecoverPartition(partition, 3, pair, pair))
        assertTrue(awaitTrue { failures().count { it.fenced } == 4 })
        assertEquals(listOf(1L, 2L, 3L, 4L), failures().filter { it.fenced }.map { it.appendId })
        assertEquals(emptyList(), owner.acknowledgedIds())
        owner.close()
    }

    /** Guards against reclaimed entries that a program needs, and against copies that can't be recovered afterwards. */
    @Test
    fun `ended programs are reclaimed from both copies and recovery leaves their rest out`() {
        owner.recovered(1, emptyList(), pair)
        for (id in 1..10L) owner.append(1, id, "a$id")
        owner.awaitAcknowledged(10)
        assertEquals(0, owner.replicator.reclaim(partition, endedBeforeMillis = 10))
        assertEquals(10, owner.replicator.reclaim(partition, endedBeforeMillis = 11))
        assertEquals(
            9,
            cluster.stores
                .getValue(nodeA)
                .copies()
                .single()
                .firstIndex,
        )
        assertEquals(listOf(record("a10")), owner.recovered(2, pair, listOf(nodeB, nodeC)))
        owner.append(2, 11, "b")
        owner.awaitAcknowledged(11)
        assertEquals(
            listOf(9L, 10L),
            cluster.stores
                .getValue(nodeC)
                .readAll(9)
                .map { it.index },
        )
        owner.close()
    }
}
