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
private const val REPEAT_PROBABILITY = 0.2
private const val MAX_REPEAT_DELAY_MILLIS = 25L

/**
 * Runs several owners in succession over links that lose requests and answers, delay requests and repeat them later. At
 * most one host is replaced between two recoveries, because the journal tolerates the loss of one host only.
 */
internal class JournalReplicatorPropertyTest {
    /** Guards against a recovery that lacks acknowledged entries, and against acknowledgements of an owner whose copies were sealed. */
    @Property(tries = 60, seed = "2718281828", shrinking = ShrinkingMode.OFF)
    fun `every acknowledged entry is in each later recovery`(
        @ForAll @LongRange(min = 0, max = 1_000_000_000) seed: Long,
    ) = ReplicationRun(Random(seed)).use { it.execute() }
}

private class ReplicationRun(
    private val random: Random,
) : AutoCloseable {
    private val cluster = JournalCluster(hosts)
    private val repeats: ScheduledExecutorService = Executors.newScheduledThreadPool(2)
    private val cutOffLinks: MutableSet<Pair<Owner, NodeId>> = ConcurrentHashMap.newKeySet()
    private val owners = mutableListOf<Pair<Long, Owner>>()
    private val recoveries = mutableListOf<Pair<Long, List<HistoryRecord>>>()
    private var journalNodes = emptyList<NodeId>()
    private var epoch = 0L
    private var appendId = 0L
    private var lossProbability = 0.0
    private var repeatProbability = REPEAT_PROBABILITY
    private var mayReplaceHost = false

    fun execute() {
        takeOver()
        repeat(STEPS) { performRandomStep() }
        takeOver()
        stopFaults()
        appendSome()
        val (_, last) = owners.last()
        check(awaitTrue { appendId in last.acknowledgedIds() }) { "the last append is not acknowledged: ${last.replicator.status()}" }
        takeOver()
        Thread.sleep(30)
        verify()
    }

    private fun performRandomStep() {
        when (random.nextInt(10)) {
            in 0..3 -> appendSome()
            4, 5 -> Thread.sleep(random.nextLong(15))
            6 -> lossProbability = random.nextDouble(0.4)
            7 -> cutOffLinks += owners.random(random).second to hosts.random(random)
            8 -> replaceRandomHost()
            else -> takeOver()
        }
    }

    private fun appendSome() {
        // Former owners don't know that they were replaced and keep appending.
        for ((ownEpoch, owner) in owners) {
            repeat(random.nextInt(1, 5)) { owner.append(ownEpoch, ++appendId, "r$appendId") }
        }
    }

    private fun replaceRandomHost() {
        if (!mayReplaceHost) return
        mayReplaceHost = false
        cluster.replaceHost(journalNodes.random(random))
    }

    /** Stops all faults and waits for pending repeats, because a repeated request may undo the recovery. */
    private fun stopFaults() {
        lossProbability = 0.0
        repeatProbability = 0.0
        cutOffLinks.clear()
        Thread.sleep(MAX_REPEAT_DELAY_MILLIS)
    }

    /** Starts an owner at the next epoch, as after a compare-and-swap. Retries the recovery, the last time without faults. */
    private fun takeOver() {
        epoch++
        lateinit var owner: Owner
        owner = cluster.owner { node, call -> sendOverLink(owner, node, call) }
        for (attempt in 1..4) {
            if (attempt == 4) stopFaults()
            val target = if (random.nextBoolean() && journalNodes.isNotEmpty()) journalNodes else hosts.shuffled(random).take(2)
            val event = owner.recover(epoch, journalNodes, target)
            if (event !is PartitionRecovered) continue
            recoveries += epoch to event.records
            // Appends start only after the partition record names these nodes.
            journalNodes = event.journalNodes
            owners += epoch to owner
            mayReplaceHost = true
            repeatProbability = REPEAT_PROBABILITY
            return
        }
        assertIs<PartitionRecovered>(null, "epoch $epoch was not recovered without faults: ${owner.events.takeLast(3)}")
    }

    private fun sendOverLink(
        owner: Owner,
        node: NodeId,
        call: () -> JournalAnswer,
    ): JournalAnswer {
        if (owner to node in cutOffLinks) throw IOException("$node is cut off")
        val (sample, delayMillis, repeatDelayMillis) =
            synchronized(random) {
                Triple(random.nextDouble(), random.nextLong(3), random.nextLong(1, MAX_REPEAT_DELAY_MILLIS))
            }
        if (delayMillis == 2L) Thread.sleep(delayMillis)
        if (sample < lossProbability / 2) throw IOException("request to $node lost")
        val answer = call()
        if (sample > 1 - repeatProbability) repeats.schedule({ call() }, repeatDelayMillis, TimeUnit.MILLISECONDS)
        if (sample < lossProbability) throw IOException("answer of $node lost")
        return answer
    }

    private fun verify() {
        val acknowledged = owners.flatMap { (_, owner) -> owner.acknowledgedRecords() }
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
