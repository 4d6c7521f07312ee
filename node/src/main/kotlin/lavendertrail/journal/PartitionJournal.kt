package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.Event
import lavendertrail.reducer.HistoryAppendFailed
import lavendertrail.reducer.HistoryAppended

/** Replication progress of one copy. A repair replaces the object, so that answers to earlier requests have no effect. */
internal class CopyProgress(
    val node: NodeId,
    var acceptedTo: Long,
) {
    var sending = false
    var failures = 0
    var lastError: String? = null
}

/**
 * Pending appends of one partition in one epoch of its owner: the entries that not all copies have accepted yet, and the
 * progress of each copy. It does no I/O and has no threads; [JournalReplicator] sends the requests. Events are emitted in
 * the order of the appends.
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

    /** Index below which all entries are on all copies. */
    val acknowledgedTo: Long get() = synchronized(this) { copies.minOf { it.acceptedTo } }

    fun addAppend(
        effect: AppendHistory,
        nowNanos: Long,
    ): Unit =
        synchronized(this) {
            val reason = closedReason ?: if (effect.epoch != epoch) "journal is at epoch $epoch, append has epoch ${effect.epoch}" else null
            if (reason != null) {
                emit(effect.fencedFailure(reason))
                return
            }
            effect.records.forEach { entries += JournalEntry(tail++, epoch, it) }
            appends += WaitingAppend(effect.appendId, tail, nowNanos)
            acknowledgeAppends()
        }

    /** Returns the next entries for [copy]. If there is nothing to send, returns null and ends sending to the copy. */
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

    /** Returns the idle copies that lack entries, marked as sending. */
    fun copiesToStart(): List<CopyProgress> =
        synchronized(this) {
            if (closedReason != null || needsRepair) return emptyList()
            copies.filter { !it.sending && it.acceptedTo < tail }.onEach { it.sending = true }
        }

    fun onAccepted(
        copy: CopyProgress,
        batch: JournalAppend,
    ): Unit =
        synchronized(this) {
            if (copy !in copies || closedReason != null) return
            copy.acceptedTo = maxOf(copy.acceptedTo, batch.entries.last().index + 1)
            copy.failures = 0
            copy.lastError = null
            acknowledgeAppends()
        }

    /** Records a failed batch. Returns the consecutive failures of the copy, or null if it is no longer in use. */
    fun onFailed(
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

    /** Marks a repair as started. Returns false if one is already running or none is needed. */
    fun beginRepair(): Boolean =
        synchronized(this) {
            val begins = needsRepair && !repairing && closedReason == null
            if (begins) repairing = true
            begins
        }

    fun onRepairFailed(
        error: String,
        node: NodeId?,
    ): Unit =
        synchronized(this) {
            repairing = false
            copies.filter { node == null || it.node == node }.forEach { it.lastError = error }
        }

    /** Continues after a repair that left [content] on all copies under [newAttempt]. Throws if this is not a prefix of the log. */
    fun onRepaired(
        newAttempt: Long,
        content: AlignedContent,
    ): Unit =
        synchronized(this) {
            val dropped = tail - entries.size
            val next = content.nextIndex
            check(next in acknowledgedTo..tail) { "copies have $next entries, expected between $acknowledgedTo and $tail" }
            for (index in maxOf(dropped, content.firstIndex) until next) {
                val same = entries[(index - dropped).toInt()].isSameAs(content.entries[(index - content.firstIndex).toInt()])
                check(same) { "copies have a different entry at index $index" }
            }
            attempt = newAttempt
            copies = nodes.map { CopyProgress(it, next) }
            needsRepair = false
            repairing = false
            acknowledgeAppends()
        }

    /** Closes the journal at this node and fails its pending appends as fenced. */
    fun close(reason: String): Unit =
        synchronized(this) {
            if (closedReason != null) return
            closedReason = reason
            appends.forEach { emit(HistoryAppendFailed(partition, epoch, it.id, fenced = true, message = reason)) }
            appends.clear()
            entries.clear()
        }

    /** Reports the copy that is furthest behind if the oldest append has waited for [limitNanos], at most once per [limitNanos]. */
    fun reportLateAppend(
        nowNanos: Long,
        limitNanos: Long,
    ): Unit =
        synchronized(this) {
            val oldest = appends.firstOrNull() ?: return
            val since = reportedNanos?.let { maxOf(it, oldest.sinceNanos) } ?: oldest.sinceNanos
            if (nowNanos - since < limitNanos) return
            reportedNanos = nowNanos
            val late = copies.minWith(compareBy({ it.acceptedTo }, { it.lastError == null }))
            val message = "append ${oldest.id} is waiting for ${late.node}: ${late.lastError ?: "no answer"}"
            emit(HistoryAppendFailed(partition, epoch, oldest.id, fenced = false, message = message, journalNode = late.node))
        }

    fun status(): ReplicatedPartitionStatus =
        synchronized(this) {
            val lag = copies.associate { it.node to tail - it.acceptedTo }
            ReplicatedPartitionStatus(partition, epoch, nodes, tail, appends.size, lag, copies.mapNotNull { it.lastError })
        }

    private fun acknowledgeAppends() {
        val to = copies.minOf { it.acceptedTo }
        while (appends.isNotEmpty() && appends.first().endIndex <= to) {
            emit(HistoryAppended(partition, epoch, appends.removeFirst().id))
        }
        while (entries.isNotEmpty() && entries.first().index < to) entries.removeFirst()
    }
}

internal fun AppendHistory.fencedFailure(reason: String) = HistoryAppendFailed(partition, epoch, appendId, fenced = true, message = reason)
