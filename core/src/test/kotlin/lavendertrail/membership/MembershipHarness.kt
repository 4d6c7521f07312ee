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

/** Runs the reducers of several nodes with a fake key-value service and fake journals. Messages are delivered immediately or never. */
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
    val disconnectedPairs = mutableSetOf<Set<NodeId>>()
    val records = mutableMapOf<PartitionId, Pair<PartitionRecord, Long>>()
    val sealedEpochs = mutableMapOf<PartitionId, Long>()
    val listedNodes = nodes.keys.toMutableSet()
    var serviceUp = true
    var loseSwapAnswers = false
    val nodesWithFullDisk = mutableSetOf<NodeId>()
    var swapCount = 0
    var nowMillis = 10_000L
    private var revision = 0L

    init {
        deliverNodeList()
    }

    fun deliverNodeList() {
        val list = NodeRecordsRead(listedNodes.map { nodes.getValue(it).self })
        running().forEach { deliver(it, list) }
    }

    fun running(): List<NodeId> = nodes.keys.filter { it !in stopped }

    fun runFor(millis: Long) {
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
            is SendProbe -> performProbe(node, effect)
            is SwapPartition -> performSwap(node, effect)
            is ReadPartition -> if (serviceUp) deliver(node, recordRead(effect.partition))
            is RecoverPartition -> deliver(node, performRecovery(node, effect))
            is OfferHandover -> effect.partitions.forEach { deliver(effect.peer, recordRead(it)) }
            else -> Unit
        }
    }

    private fun isReachable(
        from: NodeId,
        to: NodeId,
    ) = to !in stopped && setOf(from, to) !in disconnectedPairs

    private fun performProbe(
        node: NodeId,
        effect: SendProbe,
    ) {
        if (!isReachable(node, effect.peer)) return deliver(node, ProbeFailed(effect.peer, "timeout"))
        deliver(effect.peer, ProbeReceived(effect.message))
        deliver(node, ProbeAnswered(effect.peer, nodes.getValue(effect.peer).probeMessage(nowMillis)))
    }

    private fun performSwap(
        node: NodeId,
        effect: SwapPartition,
    ) {
        if (!serviceUp) {
            deliver(node, ServiceReachability(false))
            return deliver(node, PartitionSwapFailed(effect.partition, "unavailable"))
        }
        swapCount++
        val swapped = (records[effect.partition]?.second ?: 0) == effect.expectedRevision
        if (swapped) records[effect.partition] = effect.record to ++revision
        if (loseSwapAnswers) return deliver(node, PartitionSwapFailed(effect.partition, "answer lost"))
        val now = records.getValue(effect.partition)
        deliver(node, PartitionSwapEnded(effect.partition, swapped, now.first, now.second))
        if (swapped) running().filter { it != node }.forEach { deliver(it, recordRead(effect.partition)) }
    }

    private fun recordRead(partition: PartitionId): PartitionRecordRead {
        val now = records[partition]
        return PartitionRecordRead(partition, now?.first, now?.second ?: 0)
    }

    private fun performRecovery(
        node: NodeId,
        effect: RecoverPartition,
    ): Event {
        val sealable = effect.sealNodes.filter { it == node || isReachable(node, it) }
        val sealed = sealedEpochs[effect.partition] ?: 0
        val copiesMissing = effect.journalNodes.any { it != node && !isReachable(node, it) }
        val full = effect.journalNodes.find { it in nodesWithFullDisk }
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
