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

/** Writes per second that the platform's key-value service is taken to handle: the low end of "several hundred". */
internal const val SERVICE_WRITES_PER_SECOND = 300

/** What one probe adds to its two messages: 69 bytes of HTTP/2 framing, as measured on loopback, and four TCP/IP headers of 52 bytes. */
internal const val RPC_OVERHEAD_BYTES = 277

/**
 * The reducers of one region in one process, joined by a wire that counts encoded bytes and a key-value service that
 * counts calls and takes [SERVICE_WRITES_PER_SECOND]. Journals answer at once, so times are those of detection and
 * ownership alone.
 */
internal class FleetModel(
    nodeCount: Int,
    private val settings: MembershipSettings = MembershipSettings(),
    failureDomains: Int = 4,
) {
    val names: List<NodeId> = (1..nodeCount).map { NodeId("node-$it") }
    private val states = names.associateWith { initialState(it, failureDomains) }.toMutableMap()
    private val records = mutableMapOf<PartitionId, Pair<PartitionRecord, Long>>()
    private val waitingSwaps = ArrayDeque<Pair<NodeId, SwapPartition>>()
    private val stopped = mutableSetOf<NodeId>()
    private var revision = 0L
    private var swapCredit = 0.0
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
        val listing = NodeRecordsRead(states.values.map { it.self })
        names.forEach { deliver(it, listing) }
    }

    fun state(node: NodeId): NodeState = states.getValue(node)

    fun stop(nodes: Collection<NodeId>) {
        stopped += nodes
    }

    fun failureDomainOf(node: NodeId): FailureDomain = states.getValue(node).self.failureDomain

    fun run(millis: Long) {
        val endMillis = nowMillis + millis
        while (nowMillis < endMillis) step()
    }

    /** Runs until [done] or for at most [limitMillis]; the time it took, or null. */
    fun runUntil(
        limitMillis: Long,
        done: () -> Boolean,
    ): Long? {
        val startMillis = nowMillis
        while (!done()) {
            if (nowMillis - startMillis >= limitMillis) return null
            step()
        }
        return nowMillis - startMillis
    }

    /** Whether each partition of the region has an active owner that runs. */
    fun allOwned(): Boolean = settings.regionPartitions.all { partition -> hasActiveOwner(partition) }

    private fun hasActiveOwner(partition: PartitionId): Boolean {
        val owner = records[partition]?.first?.ownerNode ?: return false
        return owner !in stopped &&
            states
                .getValue(owner)
                .membership.owned[partition]
                ?.isActive == true
    }

    /** Puts a configuration record into one node, as if its watch alone had worked. */
    fun change(
        node: NodeId,
        record: StoredRecord,
    ) = deliver(node, ConfigRecordsReceived(listOf(record), record.revision, "watch"))

    fun nodesWithRevision(revision: Long): Int = names.count { it !in stopped && states.getValue(it).config.headRevision >= revision }

    private fun step() {
        nowMillis += STEP_MILLIS
        names.forEach { if (it !in stopped) deliver(it, Tick) }
        swapCredit = minOf(swapCredit + SERVICE_WRITES_PER_SECOND * STEP_MILLIS / 1_000.0, SERVICE_WRITES_PER_SECOND.toDouble())
        while (waitingSwaps.isNotEmpty() && swapCredit >= 1) {
            swapCredit -= 1
            val (node, swap) = waitingSwaps.removeFirst()
            write(node, swap)
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
            is SendProbe -> probe(node, effect)
            is SwapPartition -> waitingSwaps += node to effect
            is ReadPartition -> readPartition(node, effect.partition)
            is RecoverPartition -> deliver(node, PartitionRecovered(effect.partition, effect.epoch, effect.journalNodes, emptyList()))
            is OfferHandover -> effect.partitions.forEach { readPartition(effect.peer, it) }
            is FetchConfig -> fetch(node, effect)
            else -> Unit
        }
    }

    private fun probe(
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

    private fun write(
        node: NodeId,
        swap: SwapPartition,
    ) {
        serviceWrites++
        val won = (records[swap.partition]?.second ?: 0) == swap.expectedRevision
        if (won) records[swap.partition] = swap.record to ++revision
        val now = records.getValue(swap.partition)
        if (node !in stopped) deliver(node, PartitionSwapEnded(swap.partition, won, now.first, now.second))
        if (!won) return
        val event = PartitionRecordRead(swap.partition, now.first, now.second)
        val size = WATCH_EVENT_BYTES + cbor.encodeToByteArray(now.first).size
        names.filter { it != node && it !in stopped }.forEach {
            watchBytes += size
            deliver(it, event)
        }
    }

    private fun readPartition(
        node: NodeId,
        partition: PartitionId,
    ) {
        serviceReads++
        val now = records[partition]
        deliver(node, PartitionRecordRead(partition, now?.first, now?.second ?: 0))
    }

    private fun fetch(
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
        val number = names.indexOf(node)
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
                    number / failureDomains % JOURNAL_EVERY == 0,
            )
        return NodeState(record, ReducerSettings(membership = settings))
    }

    private fun encodedSize(message: ProbeMessage): Int = cbor.encodeToByteArray(message).size

    private companion object {
        const val STEP_MILLIS = 100L
        const val SEED_FACTOR = 31L
        const val WATCH_EVENT_BYTES = 180
        const val JOURNAL_EVERY = 3
        val cbor = Cbor { ignoreUnknownKeys = true }
    }
}
