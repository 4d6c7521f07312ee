package lavendertrail.journal

import lavendertrail.history.HistoryRecord
import lavendertrail.model.NodeId
import lavendertrail.reducer.PartitionRecovered
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.constraints.LongRange
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs

private val hosts = listOf(nodeA, nodeB, nodeC, NodeId("liwa-2"))
private const val STEPS = 14
private const val REPEAT_RATE = 0.2
private const val MAX_LATE_MILLIS = 25L

/**
 * Several owners, one after the other, over links that lose requests and answers, delay them and repeat them later. At
 * most one host is lost before the partition has been recovered, as the journal promises to survive the loss of one.
 */
internal class JournalReplicatorPropertyTest {
    /** Guards against acknowledged entries that a recovery doesn't have, and acknowledgements by an owner after its seal. */
    @Property(tries = 60, seed = "2718281828", shrinking = ShrinkingMode.OFF)
    fun `every acknowledged entry is in each later recovery`(
        @ForAll @LongRange(min = 0, max = 1_000_000_000) seed: Long,
    ) = Run(Random(seed)).use { it.play() }
}

private class Run(
    private val random: Random,
) : AutoCloseable {
    private val cluster = JournalCluster(hosts)
    private val repeats: ScheduledExecutorService = Executors.newScheduledThreadPool(2)
    private val cut: MutableSet<Pair<Owner, NodeId>> = ConcurrentHashMap.newKeySet()
    private val owners = mutableListOf<Pair<Long, Owner>>()
    private val recoveries = mutableListOf<Pair<Long, List<HistoryRecord>>>()
    private var journalNodes = emptyList<NodeId>()
    private var epoch = 0L
    private var appendId = 0L
    private var lossRate = 0.0
    private var repeatRate = REPEAT_RATE
    private var mayWipe = false

    fun play() {
        takeOver()
        repeat(STEPS) { step() }
        takeOver()
        stopFaults()
        appendSome()
        val (_, last) = owners.last()
        check(awaitTrue { appendId in last.acknowledgedIds() }) { "the last append is not acknowledged: ${last.replicator.status()}" }
        takeOver()
        Thread.sleep(30)
        verify()
    }

    private fun step() {
        when (random.nextInt(10)) {
            in 0..3 -> appendSome()
            4, 5 -> Thread.sleep(random.nextLong(15))
            6 -> lossRate = random.nextDouble(0.4)
            7 -> cut += owners.random(random).second to hosts.random(random)
            8 -> loseHost()
            else -> takeOver()
        }
    }

    private fun appendSome() {
        // Old owners don't know that they were replaced, so they append as well.
        for ((ownEpoch, owner) in owners) {
            repeat(random.nextInt(1, 5)) { owner.append(ownEpoch, ++appendId, "r$appendId") }
        }
    }

    private fun loseHost() {
        if (!mayWipe) return
        mayWipe = false
        cluster.wipe(journalNodes.random(random))
    }

    /** Waits for requests that are still to be repeated: one of them may undo what the recovery just did. */
    private fun stopFaults() {
        lossRate = 0.0
        repeatRate = 0.0
        cut.clear()
        Thread.sleep(MAX_LATE_MILLIS)
    }

    /** A higher epoch, as a compare-and-swap gives it out; recovery is tried until it succeeds, at last without faults. */
    private fun takeOver() {
        epoch++
        lateinit var owner: Owner
        owner = cluster.owner { node, call -> pass(owner, node, call) }
        for (attempt in 1..4) {
            if (attempt == 4) stopFaults()
            val target = if (random.nextBoolean() && journalNodes.isNotEmpty()) journalNodes else hosts.shuffled(random).take(2)
            val event = owner.recover(epoch, journalNodes, target)
            if (event !is PartitionRecovered) continue
            recoveries += epoch to event.records
            // Appends start only now, when the partition record names these nodes.
            journalNodes = event.journalNodes
            owners += epoch to owner
            mayWipe = true
            repeatRate = REPEAT_RATE
            return
        }
        assertIs<PartitionRecovered>(null, "epoch $epoch was not recovered without faults: ${owner.events.takeLast(3)}")
    }

    private fun pass(
        owner: Owner,
        node: NodeId,
        call: () -> JournalAnswer,
    ): JournalAnswer {
        if (owner to node in cut) throw IOException("$node is cut off")
        val (chance, delay, lateMillis) =
            synchronized(random) {
                Triple(random.nextDouble(), random.nextLong(3), random.nextLong(1, MAX_LATE_MILLIS))
            }
        if (delay == 2L) Thread.sleep(delay)
        if (chance < lossRate / 2) throw IOException("request to $node lost")
        val answer = call()
        if (chance > 1 - repeatRate) repeats.schedule({ call() }, lateMillis, TimeUnit.MILLISECONDS)
        if (chance < lossRate) throw IOException("answer of $node lost")
        return answer
    }

    private fun verify() {
        val acknowledged = owners.flatMap { (_, owner) -> owner.acknowledged() }
        for ((recoveredEpoch, records) in recoveries) {
            val present = records.map { it.hash }.toSet()
            val missing = acknowledged.filter { (ownEpoch, record) -> ownEpoch < recoveredEpoch && record.hash !in present }
            assertEquals(
                emptyList(),
                missing.map { (ownEpoch, record) ->
                    "$ownEpoch: ${record.program}"
                },
                "missing at epoch $recoveredEpoch",
            )
            assertEquals(records.size, present.size, "records are repeated at epoch $recoveredEpoch")
        }
        for ((one, next) in recoveries.zipWithNext()) {
            assertEquals(
                one.second,
                next.second.take(one.second.size),
                "epoch ${next.first} changed history",
            )
        }
    }

    override fun close() {
        repeats.shutdownNow()
        owners.forEach { (_, owner) -> owner.close() }
    }
}
