package lavendertrail.membership

import lavendertrail.history.HistoryRecord
import lavendertrail.model.FailureDomain
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.RegionId
import lavendertrail.reducer.Effect
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeRecordsRead
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.OfferHandover
import lavendertrail.reducer.PartitionRecordRead
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.PartitionRecoveryFailed
import lavendertrail.reducer.PartitionSwapEnded
import lavendertrail.reducer.PartitionSwapFailed
import lavendertrail.reducer.ProbeAnswered
import lavendertrail.reducer.ProbeFailed
import lavendertrail.reducer.ProbeReceived
import lavendertrail.reducer.ReadPartition
import lavendertrail.reducer.RecoverPartition
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.SendProbe
import lavendertrail.reducer.ServiceReachability
import lavendertrail.reducer.SwapPartition
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce

/** Several reducers with a fake key-value service and fake journals. Messages arrive at once or not at all. */
internal class MembershipHarness(
    private val settings: MembershipSettings = MembershipSettings(partitionsInUse = 12),
    domains: List<String> = listOf("sohar", "shinas", "liwa"),
    nodeCount: Int = 3,
) {
    val nodes =
        (1..nodeCount)
            .associate { number ->
                val node = NodeId("n$number")
                val domain = FailureDomain(domains[(number - 1) % domains.size])
                node to
                    NodeState(
                        NodeRecord(node, REGION, domain, "127.0.0.1:$number", "", 1, journal = true),
                        ReducerSettings(membership = settings),
                    )
            }.toMutableMap()
    val stopped = mutableSetOf<NodeId>()
    val cutPairs = mutableSetOf<Set<NodeId>>()
    val records = mutableMapOf<PartitionId, Pair<PartitionRecord, Long>>()
    val sealedEpochs = mutableMapOf<PartitionId, Long>()
    val listed = nodes.keys.toMutableSet()
    var serviceUp = true
    var loseSwapAnswers = false
    val fullDisks = mutableSetOf<NodeId>()
    var swaps = 0
    var nowMillis = 10_000L
    private var revision = 0L

    init {
        listAll()
    }

    fun listAll() {
        val list = NodeRecordsRead(listed.map { nodes.getValue(it).self })
        running().forEach { deliver(it, list) }
    }

    fun running(): List<NodeId> = nodes.keys.filter { it !in stopped }

    fun run(millis: Long) {
        repeat((millis / TICK_MILLIS).toInt()) {
            nowMillis += TICK_MILLIS
            running().forEach { deliver(it, Tick) }
        }
    }

    fun deliver(
        node: NodeId,
        event: Event,
    ) {
        val step = reduce(nodes.getValue(node), TimedEvent(nowMillis, nowMillis + node.hashCode(), event))
        nodes[node] = step.state
        step.effects.forEach { perform(node, it) }
    }

    fun activeOwners(partition: PartitionId): List<NodeId> =
        running().filter {
            nodes
                .getValue(it)
                .membership.owned[partition]
                ?.isActive ==
                true
        }

    fun partitions(): List<PartitionId> = settings.regionPartitions

    private fun perform(
        node: NodeId,
        effect: Effect,
    ) {
        when (effect) {
            is SendProbe -> probe(node, effect)
            is SwapPartition -> swap(node, effect)
            is ReadPartition -> if (serviceUp) deliver(node, recordRead(effect.partition))
            is RecoverPartition -> deliver(node, recover(node, effect))
            is OfferHandover -> effect.partitions.forEach { deliver(effect.peer, recordRead(it)) }
            else -> Unit
        }
    }

    private fun reaches(
        from: NodeId,
        to: NodeId,
    ) = to !in stopped && setOf(from, to) !in cutPairs

    private fun probe(
        node: NodeId,
        effect: SendProbe,
    ) {
        if (!reaches(node, effect.peer)) return deliver(node, ProbeFailed(effect.peer, "timeout"))
        deliver(effect.peer, ProbeReceived(effect.message))
        deliver(node, ProbeAnswered(effect.peer, nodes.getValue(effect.peer).probeMessage(nowMillis)))
    }

    private fun swap(
        node: NodeId,
        effect: SwapPartition,
    ) {
        if (!serviceUp) {
            deliver(node, ServiceReachability(false))
            return deliver(node, PartitionSwapFailed(effect.partition, "unavailable"))
        }
        swaps++
        val won = (records[effect.partition]?.second ?: 0) == effect.expectedRevision
        if (won) records[effect.partition] = effect.record to ++revision
        if (loseSwapAnswers) return deliver(node, PartitionSwapFailed(effect.partition, "answer lost"))
        val now = records.getValue(effect.partition)
        deliver(node, PartitionSwapEnded(effect.partition, won, now.first, now.second))
        if (won) running().filter { it != node }.forEach { deliver(it, recordRead(effect.partition)) }
    }

    private fun recordRead(partition: PartitionId): PartitionRecordRead {
        val now = records[partition]
        return PartitionRecordRead(partition, now?.first, now?.second ?: 0)
    }

    private fun recover(
        node: NodeId,
        effect: RecoverPartition,
    ): Event {
        val sealable = effect.sealNodes.filter { it == node || reaches(node, it) }
        val sealed = sealedEpochs[effect.partition] ?: 0
        val copiesMissing = effect.journalNodes.any { it != node && !reaches(node, it) }
        val full = effect.journalNodes.find { it in fullDisks }
        return when {
            effect.epoch < sealed -> PartitionRecoveryFailed(effect.partition, effect.epoch, "sealed at $sealed")
            effect.sealNodes.isNotEmpty() && sealable.isEmpty() ->
                PartitionRecoveryFailed(
                    effect.partition,
                    effect.epoch,
                    "no copy reachable",
                )
            full != null -> PartitionRecoveryFailed(effect.partition, effect.epoch, "disk full", full)
            copiesMissing -> PartitionRecoveryFailed(effect.partition, effect.epoch, "journal node unreachable")
            else -> {
                sealedEpochs[effect.partition] = effect.epoch
                PartitionRecovered(effect.partition, effect.epoch, effect.journalNodes, emptyList<HistoryRecord>())
            }
        }
    }

    companion object {
        const val TICK_MILLIS = 50L
        val REGION = RegionId("batinah")
    }
}
