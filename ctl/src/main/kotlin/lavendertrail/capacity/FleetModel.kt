package lavendertrail.capacity

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import lavendertrail.membership.MembershipSettings
import lavendertrail.membership.NodeRecord
import lavendertrail.membership.PartitionRecord
import lavendertrail.membership.ProbeMessage
import lavendertrail.membership.probeMessage
import lavendertrail.model.FailureDomain
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.RegionId
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.Effect
import lavendertrail.reducer.Event
import lavendertrail.reducer.FetchConfig
import lavendertrail.reducer.NodeRecordsRead
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.OfferHandover
import lavendertrail.reducer.PartitionRecordRead
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.PartitionSwapEnded
import lavendertrail.reducer.ProbeAnswered
import lavendertrail.reducer.ProbeFailed
import lavendertrail.reducer.ProbeReceived
import lavendertrail.reducer.ReadPartition
import lavendertrail.reducer.RecoverPartition
import lavendertrail.reducer.ReducerSettings
import lavendertrail.reducer.SendProbe
import lavendertrail.reducer.StoredRecord
import lavendertrail.reducer.SwapPartition
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent
import lavendertrail.reducer.reduce

/** Write rate of the modelled key-value service: the low end of the several hundred writes per second expected of the real one. */
internal const val SERVICE_WRITES_PER_SECOND = 300

/** Overhead of a probe beyond its two messages: 69 bytes of HTTP/2 framing on loopback and four TCP/IP headers of 52 bytes. */
internal const val RPC_OVERHEAD_BYTES = 277

/**
 * Simulates the nodes of one region in one process: their reducers, a network that counts encoded bytes and a key-value service
 * that counts calls and is limited to [SERVICE_WRITES_PER_SECOND]. Journal recovery completes at once, so times include only
 * failure detection and ownership changes.
 */
internal class FleetModel(
    nodeCount: Int,
    private val settings: MembershipSettings = MembershipSettings(),
    failureDomains: Int = 4,
) {
    val nodeIds: List<NodeId> = (1..nodeCount).map { NodeId("node-$it") }
    private val states = nodeIds.associateWith { initialState(it, failureDomains) }.toMutableMap()
    private val records = mutableMapOf<PartitionId, Pair<PartitionRecord, Long>>()
    private val pendingSwaps = ArrayDeque<Pair<NodeId, SwapPartition>>()
    private val stopped = mutableSetOf<NodeId>()
    private var revision = 0L
    private var availableWrites = 0.0
    var nowMillis = 0L
        private set
    var probeBytes = 0L
        private set
    var probes = 0L
        private set
    var serviceWrites = 0L
        private set
    var serviceReads = 0L
        private set
    var watchBytes = 0L
        private set
    var configFetches = 0L
        private set
    var cpuNanos = 0L
        private set
    var allocatedBytes = 0L
        private set

    init {
        val nodeRecords = NodeRecordsRead(states.values.map { it.self })
        nodeIds.forEach { deliver(it, nodeRecords) }
    }

    fun state(node: NodeId): NodeState = states.getValue(node)

    fun stop(nodes: Collection<NodeId>) {
        stopped += nodes
    }

    fun failureDomainOf(node: NodeId): FailureDomain = states.getValue(node).self.failureDomain

    fun run(millis: Long) {
        val endMillis = nowMillis + millis
        while (nowMillis < endMillis) advance()
    }

    /** Runs until [done] returns true and returns the time that it took, or null after [limitMillis]. */
    fun runUntil(
        limitMillis: Long,
        done: () -> Boolean,
    ): Long? {
        val startMillis = nowMillis
        while (!done()) {
            if (nowMillis - startMillis >= limitMillis) return null
            advance()
        }
        return nowMillis - startMillis
    }

    /** Whether each partition of the region has an active owner on a running node. */
    fun allOwned(): Boolean = settings.regionPartitions.all { partition -> hasActiveOwner(partition) }

    private fun hasActiveOwner(partition: PartitionId): Boolean {
        val owner = records[partition]?.first?.ownerNode ?: return false
        return owner !in stopped &&
            states
                .getValue(owner)
                .membership.owned[partition]
                ?.isActive == true
    }

    /** Delivers a configuration record to one node only, as if no other node's watch had received it. */
    fun injectRecord(
        node: NodeId,
        record: StoredRecord,
    ) = deliver(node, ConfigRecordsReceived(listOf(record), record.revision, "watch"))

    fun nodesWithRevision(revision: Long): Int = nodeIds.count { it !in stopped && states.getValue(it).config.headRevision >= revision }

    private fun advance() {
        nowMillis += STEP_MILLIS
        nodeIds.forEach { if (it !in stopped) deliver(it, Tick) }
        availableWrites = minOf(availableWrites + SERVICE_WRITES_PER_SECOND * STEP_MILLIS / 1_000.0, SERVICE_WRITES_PER_SECOND.toDouble())
        while (pendingSwaps.isNotEmpty() && availableWrites >= 1) {
            availableWrites -= 1
            val (node, swap) = pendingSwaps.removeFirst()
            performSwap(node, swap)
        }
    }

    private fun deliver(
        node: NodeId,
        event: Event,
    ) {
        var effects = emptyList<Effect>()
        val cost =
            measureThread {
                val step = reduce(states.getValue(node), TimedEvent(nowMillis, nowMillis * SEED_FACTOR + node.hashCode(), event))
                states[node] = step.state
                effects = step.effects
            }
        cpuNanos += cost.cpuNanos
        allocatedBytes += cost.allocatedBytes
        effects.forEach { perform(node, it) }
    }

    private fun perform(
        node: NodeId,
        effect: Effect,
    ) {
        when (effect) {
            is SendProbe -> sendProbe(node, effect)
            is SwapPartition -> pendingSwaps += node to effect
            is ReadPartition -> readPartition(node, effect.partition)
            is RecoverPartition -> deliver(node, PartitionRecovered(effect.partition, effect.epoch, effect.journalNodes, emptyList()))
            is OfferHandover -> effect.partitions.forEach { readPartition(effect.peer, it) }
            is FetchConfig -> fetchConfig(node, effect)
            else -> Unit
        }
    }

    private fun sendProbe(
        node: NodeId,
        effect: SendProbe,
    ) {
        probes++
        probeBytes += encodedSize(effect.message)
        if (effect.peer in stopped) return deliver(node, ProbeFailed(effect.peer, "connection refused"))
        val answer = states.getValue(effect.peer).probeMessage(nowMillis)
        probeBytes += encodedSize(answer) + RPC_OVERHEAD_BYTES
        deliver(effect.peer, ProbeReceived(effect.message))
        deliver(node, ProbeAnswered(effect.peer, answer))
    }

    private fun performSwap(
        node: NodeId,
        swap: SwapPartition,
    ) {
        serviceWrites++
        val swapped = (records[swap.partition]?.second ?: 0) == swap.expectedRevision
        if (swapped) records[swap.partition] = swap.record to ++revision
        val current = records.getValue(swap.partition)
        if (node !in stopped) deliver(node, PartitionSwapEnded(swap.partition, swapped, current.first, current.second))
        if (!swapped) return
        val event = PartitionRecordRead(swap.partition, current.first, current.second)
        val size = WATCH_EVENT_BYTES + cbor.encodeToByteArray(current.first).size
        nodeIds.filter { it != node && it !in stopped }.forEach {
            watchBytes += size
            deliver(it, event)
        }
    }

    private fun readPartition(
        node: NodeId,
        partition: PartitionId,
    ) {
        serviceReads++
        val current = records[partition]
        deliver(node, PartitionRecordRead(partition, current?.first, current?.second ?: 0))
    }

    private fun fetchConfig(
        node: NodeId,
        effect: FetchConfig,
    ) {
        configFetches++
        val source = states.getValue(effect.peer).config
        val newer = source.stored.values.filter { it.revision > effect.afterRevision }
        deliver(node, ConfigRecordsReceived(newer, source.headRevision, effect.peer.value))
    }

    private fun initialState(
        node: NodeId,
        failureDomains: Int,
    ): NodeState {
        val number = nodeIds.indexOf(node)
        val domain = FailureDomain("domain-${number % failureDomains}")
        val address = "10.0.${number / 256}.${number % 256}:7400"
        val record =
            NodeRecord(
                node,
                RegionId("region"),
                domain,
                address,
                address,
                1_800_000_000_000,
                journal =
                    number / failureDomains % NODES_PER_JOURNAL == 0,
            )
        return NodeState(record, ReducerSettings(membership = settings))
    }

    private fun encodedSize(message: ProbeMessage): Int = cbor.encodeToByteArray(message).size

    private companion object {
        const val STEP_MILLIS = 100L
        const val SEED_FACTOR = 31L
        const val WATCH_EVENT_BYTES = 180
        const val NODES_PER_JOURNAL = 3
        val cbor = Cbor { ignoreUnknownKeys = true }
    }
}
