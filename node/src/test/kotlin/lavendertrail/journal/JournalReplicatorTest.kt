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
    private val cutOffNodes: MutableSet<NodeId> = ConcurrentHashMap.newKeySet()
    private val requestCount = AtomicInteger()
    private var delayMillis = 0L
    private val owner =
        cluster.owner { node, call ->
            requestCount.incrementAndGet()
            Thread.sleep(delayMillis)
            if (node in cutOffNodes) throw IOException("$node is cut off") else call()
        }

    private fun failures() = owner.events.filterIsInstance<HistoryAppendFailed>()

    /** Guards against reordered acknowledgements or entries, and against one request per append. */
    @Test
    fun `appends are acknowledged in order when both copies have them`() {
        assertEquals(emptyList(), owner.recoverOrThrow(1, emptyList(), pair))
        val before = requestCount.get()
        delayMillis = 5
        for (id in 1..200L) owner.append(1, id, "a$id")
        owner.awaitAcknowledged(200)
        assertEquals((1..200L).toList(), owner.acknowledgedIds())
        assertEquals((1..200L).map { record("a$it") }, cluster.records(nodeA))
        assertEquals(cluster.records(nodeA), cluster.records(nodeB))
        assertTrue(requestCount.get() - before < 100, "${requestCount.get() - before} requests for 200 appends on two copies")
        owner.close()
    }

    /** Guards against acknowledging an append that only one copy has, and against a retry that duplicates entries. */
    @Test
    fun `an append waits for a copy that is cut off and is reported once per limit`() {
        owner.recoverOrThrow(1, emptyList(), pair)
        cutOffNodes += nodeB
        owner.append(1, 1, "a", "b")
        owner.append(1, 2, "c")
        assertTrue(awaitTrue { failures().size >= 2 })
        assertEquals(emptyList(), owner.acknowledgedIds())
        assertEquals(3, cluster.records(nodeA).size)
        val failure = failures().first()
        assertEquals(listOf(1L, false, nodeB), listOf(failure.appendId, failure.fenced, failure.journalNode))
        assertContains(failure.message, "cut off")
        assertTrue(failures().size <= 3, "${failures().size} reports")
        cutOffNodes -= nodeB
        owner.awaitAcknowledged(1, 2)
        assertEquals(listOf("a", "b", "c").map { record(it) }, cluster.records(nodeB))
        owner.close()
    }

    /** Guards against a former owner that acknowledges appends after a takeover. */
    @Test
    fun `an owner that resumes after a takeover is fenced`() {
        owner.recoverOrThrow(1, emptyList(), pair)
        owner.append(1, 1, "a")
        owner.awaitAcknowledged(1)
        cutOffNodes += pair
        owner.append(1, 2, "b")
        val successor = cluster.owner()
        assertEquals(listOf(record("a")), successor.recoverOrThrow(2, pair, pair))
        cutOffNodes.clear()
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

    /** Guards against a recovery that loses acknowledged entries, or that succeeds although they may be lost. */
    @TestFactory
    fun `recovery on A and C after both copies acknowledged a and b`(): List<DynamicTest> =
        listOf(
            Case("both copies", listOf("a", "b")) {},
            Case("the first copy cut off", listOf("a", "b")) { it.cutOffAllExcept(nodeB) },
            Case("the second copy cut off", listOf("a", "b")) { it.cutOffNodes += nodeB },
            Case("the second host replaced", listOf("a", "b")) { it.cluster.replaceHost(nodeB) },
            Case("both hosts replaced", null) { test -> pair.forEach(test.cluster::replaceHost) },
            Case("the first host replaced and the second cut off", null) {
                it.cluster.replaceHost(nodeA)
                it.cutOffNodes += nodeB
            },
            Case("a longer copy", listOf("a", "b", "x")) { it.appendTo(nodeB, "x") },
            Case("a new copy with another tail from an earlier epoch", listOf("a", "b")) { test ->
                test.cluster.stores
                    .getValue(
                        nodeC,
                    ).append(JournalAppend(partition, 1, listOf(entry(0, 1, "a"), entry(1, 1, "y"), entry(2, 1, "z")), create = true))
            },
            Case("a new copy that was only partly filled", listOf("a", "b")) { test ->
                test.cluster.stores
                    .getValue(nodeC)
                    .append(JournalAppend(partition, 1, listOf(entry(0, 1, "a")), create = true))
            },
            Case("a copy that is being refilled, alone", null) { test ->
                test.cluster.stores
                    .getValue(nodeA)
                    .append(JournalAppend(partition, 1, emptyList(), truncateTo = 1, attempt = 9))
                test.cutOffNodes += nodeB
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

    private fun cutOffAllExcept(node: NodeId) {
        cutOffNodes += pair - node
        journalNodes = listOf(node, nodeC)
    }

    private fun appendTo(
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
        owner.recoverOrThrow(1, emptyList(), pair)
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

    /** Guards against copies that stay different, and against an owner that stops, after one copy lost unflushed entries. */
    @Test
    fun `a copy that lost its tail is refilled in the running epoch`() {
        owner.recoverOrThrow(1, emptyList(), pair)
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

    /** Guards against an owner that refills a replaced host, which has lost its seal. */
    @Test
    fun `a lost copy is not recreated in the running epoch`() {
        owner.recoverOrThrow(1, emptyList(), pair)
        cluster.replaceHost(nodeB)
        owner.append(1, 1, "a")
        assertTrue(awaitTrue { failures().isNotEmpty() })
        assertEquals(emptyList(), owner.acknowledgedIds())
        assertEquals(nodeB, failures().first().journalNode)
        assertEquals(emptyList(), cluster.stores.getValue(nodeB).copies())
        owner.close()
    }

    /** Guards against appends that are neither acknowledged nor failed. */
    @Test
    fun `waiting appends fail when the partition is released or recovered again`() {
        owner.append(1, 1, "a")
        owner.recoverOrThrow(1, emptyList(), pair)
        cutOffNodes += nodeB
        owner.append(1, 2, "b")
        owner.replicator.release(partition)
        owner.append(1, 3, "c")
        cutOffNodes -= nodeB
        owner.recoverOrThrow(2, pair, pair)
        cutOffNodes += nodeB
        owner.append(2, 4, "d")
        owner.replicator.recover(lavendertrail.reducer.RecoverPartition(partition, 3, pair, pair))
        assertTrue(awaitTrue { failures().count { it.fenced } == 4 })
        assertEquals(listOf(1L, 2L, 3L, 4L), failures().filter { it.fenced }.map { it.appendId })
        assertEquals(emptyList(), owner.acknowledgedIds())
        owner.close()
    }

    /** Guards against reclaiming entries that a program needs, and against copies that can't be recovered after a reclaim. */
    @Test
    fun `ended programs are reclaimed from both copies and recovery omits their remaining records`() {
        owner.recoverOrThrow(1, emptyList(), pair)
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
        assertEquals(listOf(record("a10")), owner.recoverOrThrow(2, pair, listOf(nodeB, nodeC)))
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
