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

/** Journal nodes in memory. [link] stands between an owner and a node, and may fail, delay or repeat what passes. */
internal class JournalCluster(
    nodes: List<NodeId>,
) {
    val stores = ConcurrentHashMap(nodes.associateWith { memoryJournalStore() })

    /** Replaces the host: it comes back with an empty disk. */
    fun wipe(node: NodeId) {
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
        val reached = link(node) { JournalAnswer.Unknown }
        if (reached !is JournalAnswer.Unknown) throw IOException("$node can't be read")
        return store.read(request)
    }
}

/** A replicator with the events that it emitted. */
internal class Owner(
    peers: (NodeId) -> PeerService?,
) : AutoCloseable {
    val events = CopyOnWriteArrayList<Event>()
    val replicator = JournalReplicator(peers, events::add, quickSettings)
    private val sent = ConcurrentHashMap<Pair<Long, Long>, List<HistoryRecord>>()

    fun append(
        epoch: Long,
        id: Long,
        vararg labels: String,
    ) {
        val records = labels.map { record(it) }
        sent[epoch to id] = records
        replicator.append(AppendHistory(partition, epoch, id, records))
    }

    /** Runs a recovery and returns its last event, or null where there is none within [millis]. */
    fun recover(
        epoch: Long,
        sealNodes: List<NodeId>,
        journalNodes: List<NodeId>,
        millis: Long = 5_000,
    ): Event? {
        val before = events.count { it.isRecoveryEnd() }
        replicator.recover(RecoverPartition(partition, epoch, sealNodes, journalNodes))
        awaitTrue(millis) { events.count { it.isRecoveryEnd() } > before }
        return events.filter { it.isRecoveryEnd() }.drop(before).lastOrNull()
    }

    fun recovered(
        epoch: Long,
        sealNodes: List<NodeId>,
        journalNodes: List<NodeId>,
    ): List<HistoryRecord> {
        val event = recover(epoch, sealNodes, journalNodes)
        check(event is PartitionRecovered) { "recovery at epoch $epoch ended in $event" }
        check(event.journalNodes == journalNodes) { "recovered on ${event.journalNodes}" }
        return event.records
    }

    fun acknowledgedIds(): List<Long> = events.filterIsInstance<HistoryAppended>().map { it.appendId }

    /** Acknowledged records with the epoch of their append. */
    fun acknowledged(): List<Pair<Long, HistoryRecord>> =
        events.filterIsInstance<HistoryAppended>().flatMap { event ->
            sent.getValue(event.epoch to event.appendId).map { event.epoch to it }
        }

    fun awaitAcknowledged(vararg ids: Long) =
        check(awaitTrue { acknowledgedIds().containsAll(ids.toList()) }) { "acknowledged ${acknowledgedIds()}, ${replicator.status()}" }

    override fun close() = replicator.close()
}

private fun Event.isRecoveryEnd() = this is PartitionRecovered || this is PartitionRecoveryFailed

internal fun awaitTrue(
    millis: Long = 5_000,
    condition: () -> Boolean,
): Boolean {
    val end = System.nanoTime() + millis * 1_000_000
    while (!condition()) {
        if (System.nanoTime() > end) return false
        Thread.sleep(1)
    }
    return true
}
