package lavendertrail.journal

import lavendertrail.history.HistoryRecord
import lavendertrail.model.NodeId
import lavendertrail.peer.FakePeerService
import lavendertrail.peer.PeerService
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.Event
import lavendertrail.reducer.HistoryAppended
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.PartitionRecoveryFailed
import lavendertrail.reducer.RecoverPartition
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

internal val nodeA = NodeId("sohar-1")
internal val nodeB = NodeId("shinas-1")
internal val nodeC = NodeId("liwa-1")

internal val quickSettings =
    ReplicatorSettings(
        minRetryMillis = 1,
        maxRetryMillis = 10,
        reportMillis = 200,
        maxBatchEntries = 8,
        pageBytes = 2_000,
        parallelRecoveries = 4,
    )

/** In-memory journal nodes. The link between an owner and a node may fail, delay or repeat requests. */
internal class JournalCluster(
    nodes: List<NodeId>,
) {
    val stores = ConcurrentHashMap(nodes.associateWith { memoryJournalStore() })

    /** Replaces the host of [node] by one with an empty disk. */
    fun replaceHost(node: NodeId) {
        stores[node] = memoryJournalStore()
    }

    fun records(node: NodeId): List<HistoryRecord> = stores.getValue(node).readAll().map { it.record }

    fun owner(link: (NodeId, () -> JournalAnswer) -> JournalAnswer = { _, call -> call() }): Owner =
        Owner { node -> if (stores.containsKey(node)) LinkedService(this, node, link) else null }
}

private class LinkedService(
    private val cluster: JournalCluster,
    private val node: NodeId,
    private val link: (NodeId, () -> JournalAnswer) -> JournalAnswer,
) : PeerService by FakePeerService() {
    private val store get() = cluster.stores.getValue(node)

    override fun appendJournal(request: JournalAppend) = link(node) { store.append(request) }

    override fun sealJournal(request: JournalSeal) = link(node) { store.seal(request) }

    override fun reclaimJournal(request: JournalReclaim) = link(node) { store.reclaim(request) }

    override fun readJournal(request: JournalRead): JournalPage {
        val probe = link(node) { JournalAnswer.Unknown }
        if (probe !is JournalAnswer.Unknown) throw IOException("$node can't be read")
        return store.read(request)
    }
}

/** A replicator that records its events. */
internal class Owner(
    peers: (NodeId) -> PeerService?,
) : AutoCloseable {
    val events = CopyOnWriteArrayList<Event>()
    val replicator = JournalReplicator(peers, events::add, quickSettings)
    private val sentRecords = ConcurrentHashMap<Pair<Long, Long>, List<HistoryRecord>>()

    fun append(
        epoch: Long,
        id: Long,
        vararg labels: String,
    ) {
        val records = labels.map { record(it) }
        sentRecords[epoch to id] = records
        replicator.append(AppendHistory(partition, epoch, id, records))
    }

    /** Runs a recovery and returns its final event, or null if there is none within [timeoutMillis]. */
    fun recover(
        epoch: Long,
        sealNodes: List<NodeId>,
        journalNodes: List<NodeId>,
        timeoutMillis: Long = 5_000,
    ): Event? {
        val before = events.count { it.isRecoveryOutcome() }
        replicator.recover(RecoverPartition(partition, epoch, sealNodes, journalNodes))
        awaitTrue(timeoutMillis) { events.count { it.isRecoveryOutcome() } > before }
        return events.filter { it.isRecoveryOutcome() }.drop(before).lastOrNull()
    }

    fun recoverOrThrow(
        epoch: Long,
        sealNodes: List<NodeId>,
        journalNodes: List<NodeId>,
    ): List<HistoryRecord> {
        val event = recover(epoch, sealNodes, journalNodes)
        check(event is PartitionRecovered) { "recovery at epoch $epoch ended in $event" }
        check(event.journalNodes == journalNodes) { "recovered on ${event.journalNodes} instead of $journalNodes" }
        return event.records
    }

    fun acknowledgedIds(): List<Long> = events.filterIsInstance<HistoryAppended>().map { it.appendId }

    /** Returns the acknowledged records, each with the epoch of its append. */
    fun acknowledgedRecords(): List<Pair<Long, HistoryRecord>> =
        events.filterIsInstance<HistoryAppended>().flatMap { event ->
            sentRecords.getValue(event.epoch to event.appendId).map { event.epoch to it }
        }

    fun awaitAcknowledged(vararg ids: Long) =
        check(awaitTrue { acknowledgedIds().containsAll(ids.toList()) }) { "acknowledged ${acknowledgedIds()}, ${replicator.status()}" }

    override fun close() = replicator.close()
}

private fun Event.isRecoveryOutcome() = this is PartitionRecovered || this is PartitionRecoveryFailed

internal fun awaitTrue(
    timeoutMillis: Long = 5_000,
    condition: () -> Boolean,
): Boolean {
    val end = System.nanoTime() + timeoutMillis * 1_000_000
    while (!condition()) {
        if (System.nanoTime() > end) return false
        Thread.sleep(1)
    }
    return true
}
