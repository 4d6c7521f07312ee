package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.Event
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.HistoryAppended

/** How far one copy of the pair has accepted entries. A repair replaces the object, so late answers have no effect. */
internal class CopyProgress(
    val node: NodeId,
    var acceptedTo: Long,
) {
    var sending = false
    var failures = 0
    var lastError: String? = null
}

/**
 * Appends of one partition by its owner in one epoch: entries that not all copies have yet, and how far each copy is.
 * It does no I/O and has no threads; [JournalReplicator] does the sending. Events are emitted in the order of appends.
 */
internal class PartitionJournal(
    val partition: PartitionId,
    val epoch: Long,
    val nodes: List<NodeId>,
    attempt: Long,
    nextIndex: Long,
    private val emit: (Event) -> Unit,
) {
    private class WaitingAppend(
        val id: Long,
        val endIndex: Long,
        val sinceNanos: Long,
    )

    private val entries = ArrayDeque<JournalEntry>()
    private val appends = ArrayDeque<WaitingAppend>()
    private var tail = nextIndex
    private var reportedNanos: Long? = null
    private var closedReason: String? = null
    private var repairing = false

    var attempt = attempt
        private set
    var copies = nodes.map { CopyProgress(it, nextIndex) }
        private set
    var needsRepair = false
        private set

    /** Index before which all entries are on all copies. */
    val acknowledgedTo: Long get() = synchronized(this) { copies.minOf { it.acceptedTo } }

    fun add(
        effect: AppendHistory,
        nowNanos: Long,
    ): Unit =
        synchronized(this) {
            val reason = closedReason ?: if (effect.epoch != epoch) "journal is open at epoch $epoch" else null
            if (reason != null) {
                emit(effect.fenced(reason))
                return
            }
            effect.records.forEach { entries += JournalEntry(tail++, epoch, it) }
            appends += WaitingAppend(effect.appendId, tail, nowNanos)
            acknowledge()
        }

    /** The next entries for [copy], or null where there is nothing to send; then the copy is no longer being sent to. */
    fun nextBatch(
        copy: CopyProgress,
        maxBytes: Int,
        maxEntries: Int,
    ): JournalAppend? =
        synchronized(this) {
            val stop = closedReason != null || needsRepair || copy !in copies || copy.acceptedTo >= tail
            if (stop) {
                copy.sending = false
                return null
            }
            val start = (copy.acceptedTo - (tail - entries.size)).toInt()
            JournalAppend(partition, epoch, takeBatch(entries.listIterator(start), maxBytes, maxEntries), attempt = attempt)
        }

    /** Marks copies with something to send as being sent to and returns them. */
    fun copiesToStart(): List<CopyProgress> =
        synchronized(this) {
            if (closedReason != null || needsRepair) return emptyList()
            copies.filter { !it.sending && it.acceptedTo < tail }.onEach { it.sending = true }
        }

    fun accepted(
        copy: CopyProgress,
        batch: JournalAppend,
    ): Unit =
        synchronized(this) {
            if (copy !in copies || closedReason != null) return
            copy.acceptedTo = maxOf(copy.acceptedTo, batch.entries.last().index + 1)
            copy.failures = 0
            copy.lastError = null
            acknowledge()
        }

    /** Notes a failed batch and returns how often this copy has failed in a row; null where that no longer matters. */
    fun failed(
        copy: CopyProgress,
        error: String,
        repair: Boolean,
    ): Int? =
        synchronized(this) {
            if (copy !in copies || closedReason != null) return null
            copy.lastError = error
            if (repair) needsRepair = true
            ++copy.failures
        }

    /** False where a repair is under way already, or isn't wanted any more. */
    fun beginRepair(): Boolean =
        synchronized(this) {
            val begins = needsRepair && !repairing && closedReason == null
            if (begins) repairing = true
            begins
        }

    fun repairFailed(
        error: String,
        node: NodeId?,
    ): Unit =
        synchronized(this) {
            repairing = false
            copies.filter { node == null || it.node == node }.forEach { it.lastError = error }
        }

    /** All copies have exactly [content] under [newAttempt]. Throws where that is not a prefix of what was appended. */
    fun repaired(
        newAttempt: Long,
        content: AlignedContent,
    ): Unit =
        synchronized(this) {
            val dropped = tail - entries.size
            val next = content.nextIndex
            check(next in acknowledgedTo..tail) { "copies have $next entries, between $acknowledgedTo and $tail were expected" }
            for (index in maxOf(dropped, content.firstIndex) until next) {
                val same = entries[(index - dropped).toInt()].isSameAs(content.entries[(index - content.firstIndex).toInt()])
                check(same) { "copies have another entry at index $index" }
            }
            attempt = newAttempt
            copies = nodes.map { CopyProgress(it, next) }
            needsRepair = false
            repairing = false
            acknowledge()
        }

    /** Ends the journal at this node; what waits will never be acknowledged here. */
    fun close(reason: String): Unit =
        synchronized(this) {
            if (closedReason != null) return
            closedReason = reason
            appends.forEach { emit(HistoryAppendFailed(partition, epoch, it.id, fenced = true, message = reason)) }
            appends.clear()
            entries.clear()
        }

    /** Reports the copy that is furthest behind, where an append has waited for [limitNanos], once per limit. */
    fun reportLate(
        nowNanos: Long,
        limitNanos: Long,
    ): Unit =
        synchronized(this) {
            val oldest = appends.firstOrNull() ?: return
            val since = reportedNanos?.let { maxOf(it, oldest.sinceNanos) } ?: oldest.sinceNanos
            if (nowNanos - since < limitNanos) return
            reportedNanos = nowNanos
            val late = copies.minWith(compareBy({ it.acceptedTo }, { it.lastError == null }))
            val message = "append ${oldest.id} waits for ${late.node}: ${late.lastError ?: "no answer"}"
            emit(HistoryAppendFailed(partition, epoch, oldest.id, fenced = false, message = message, journalNode = late.node))
        }

    fun status(): ReplicatedPartitionStatus =
        synchronized(this) {
            val lag = copies.associate { it.node to tail - it.acceptedTo }
            ReplicatedPartitionStatus(partition, epoch, nodes, tail, appends.size, lag, copies.mapNotNull { it.lastError })
        }

    private fun acknowledge() {
        val to = copies.minOf { it.acceptedTo }
        while (appends.isNotEmpty() && appends.first().endIndex <= to) {
            emit(HistoryAppended(partition, epoch, appends.removeFirst().id))
        }
        while (entries.isNotEmpty() && entries.first().index < to) entries.removeFirst()
    }
}

internal fun AppendHistory.fenced(reason: String) = HistoryAppendFailed(partition, epoch, appendId, fenced = true, message = reason)
