package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.peer.PeerService
import lavendertrail.reducer.AppendHistory
import lavendertrail.reducer.Event
import lavendertrail.reducer.PartitionRecovered
import lavendertrail.reducer.PartitionRecoveryFailed
import lavendertrail.reducer.RecoverPartition
import org.tinylog.kotlin.Logger
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val REPORT_CHECKS_PER_LIMIT = 4
private const val ATTEMPTS_PER_ALIGNMENT = 2L
private const val MAX_BACKOFF_SHIFT = 16

/**
 * Executes [AppendHistory] and [RecoverPartition] for the partitions that this node owns.
 *
 * [peerService] returns the service of a journal node, including this node, or null if its address is unknown. [emit] is called
 * from several threads; it must not block or call back into the replicator. An append is acknowledged once all journal
 * nodes of the partition have accepted it. docs/history.md explains why no acknowledged entry is lost.
 *
 * ```kotlin
 * val replicator = JournalReplicator(peers::peer, runner::emit)
 * replicator.recover(RecoverPartition(partition, epoch, sealNodes, journalNodes))   // PartitionRecovered
 * replicator.append(AppendHistory(partition, epoch, appendId = 1, records))         // HistoryAppended
 * ```
 */
public class JournalReplicator(
    private val peerService: (NodeId) -> PeerService?,
    private val emit: (Event) -> Unit,
    private val settings: ReplicatorSettings = ReplicatorSettings(),
) : AutoCloseable {
    private val journals = ConcurrentHashMap<PartitionId, PartitionJournal>()
    private val recoveries = ConcurrentHashMap<PartitionId, Long>()

    // Attempts order the alignments within an epoch. An epoch belongs to one process, so a counter in memory is sufficient.
    private val attempts = AtomicLong(1)
    private val appendExecutors = NodeExecutors("journal-append", settings.threadsPerNode)
    private val alignmentExecutors = NodeExecutors("journal-recovery", settings.threadsPerNode)
    private val recoveryPool =
        Executors.newFixedThreadPool(settings.parallelRecoveries) { Thread(it, "journal-recovery").apply { isDaemon = true } }
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "journal-timer").apply { isDaemon = true } }
    private val alignment = CopyAlignment(peerService, alignmentExecutors, settings.pageBytes)

    init {
        val checkMillis = maxOf(1, settings.reportMillis / REPORT_CHECKS_PER_LIMIT)
        timer.scheduleWithFixedDelay(::reportLateAppends, checkMillis, checkMillis, TimeUnit.MILLISECONDS)
    }

    /**
     * Starts an append and returns immediately. Its outcome is HistoryAppended, or HistoryAppendFailed with `fenced` if another
     * owner has taken over.
     */
    public fun append(effect: AppendHistory) {
        val journal = journals[effect.partition]
        if (journal == null) {
            emit(effect.fencedFailure("partition ${effect.partition} is not recovered at this node"))
            return
        }
        journal.addAppend(effect, System.nanoTime())
        startSending(journal)
    }

    /**
     * Starts a recovery and returns immediately. Its outcome is PartitionRecovered or PartitionRecoveryFailed. Pending appends of
     * an earlier epoch fail as fenced.
     */
    public fun recover(effect: RecoverPartition) {
        val attempt = nextAttempt()
        recoveries[effect.partition] = attempt
        journals.remove(effect.partition)?.close("superseded by the recovery at epoch ${effect.epoch}")
        try {
            recoveryPool.execute { runRecovery(effect, attempt) }
        } catch (_: RejectedExecutionException) {
            emit(PartitionRecoveryFailed(effect.partition, effect.epoch, "the replicator is closed"))
        }
    }

    /** Closes the journal of [partition]; appends that are not acknowledged yet fail as fenced. */
    public fun release(partition: PartitionId) {
        recoveries.remove(partition)
        journals.remove(partition)?.close("partition $partition was released")
    }

    /**
     * Removes segments whose programs all ended before [endedBeforeMillis] from the copies of an owned partition. Reads
     * the whole journal, so it should run rarely. Returns the index below which entries may be removed, or null if the
     * partition isn't owned or can't be read.
     */
    public fun reclaim(
        partition: PartitionId,
        endedBeforeMillis: Long,
    ): Long? {
        val journal = journals[partition] ?: return null
        val bound = ReclaimBound(endedBeforeMillis)
        val read = journal.nodes.firstOrNull { node -> readAcknowledged(journal, node, bound) } ?: return null
        val request = JournalReclaim(partition, journal.epoch, journal.attempt, bound.beforeIndex)
        for (node in journal.nodes) {
            val answer = runCatching { peerService(node)?.reclaimJournal(request) }
            if (answer.getOrNull() !is JournalAnswer.Accepted) {
                Logger.warn { "journal: reclaim of $partition at $node failed: ${answer.failureReason(node)}; entries were read at $read" }
            }
        }
        return bound.beforeIndex
    }

    public fun status(): List<ReplicatedPartitionStatus> = journals.values.map { it.status() }.sortedBy { it.partition }

    override fun close() {
        timer.shutdownNow()
        recoveryPool.shutdownNow()
        appendExecutors.close()
        alignmentExecutors.close()
    }

    private fun nextAttempt() = attempts.getAndAdd(ATTEMPTS_PER_ALIGNMENT)

    private fun startSending(journal: PartitionJournal) {
        journal.copiesToStart().forEach { copy -> appendExecutors.execute(copy.node) { sendBatches(journal, copy) } }
    }

    private fun sendBatches(
        journal: PartitionJournal,
        copy: CopyProgress,
    ) {
        while (true) {
            val batch = journal.nextBatch(copy, settings.maxBatchBytes, settings.maxBatchEntries) ?: return
            val answer =
                try {
                    val service = peerService(copy.node)
                    service?.appendJournal(batch) ?: JournalAnswer.Failed("address of ${copy.node} is unknown")
                } catch (e: Exception) {
                    JournalAnswer.Failed(e.message ?: e.toString())
                }
            if (!handleAnswer(journal, copy, batch, answer)) return
        }
    }

    /** Returns whether the next batch may be sent immediately. */
    private fun handleAnswer(
        journal: PartitionJournal,
        copy: CopyProgress,
        batch: JournalAppend,
        answer: JournalAnswer,
    ): Boolean {
        when (answer) {
            is JournalAnswer.Accepted -> journal.onAccepted(copy, batch)
            is JournalAnswer.Fenced -> closeFenced(journal, "copy at ${copy.node} is sealed at epoch ${answer.sealedEpoch}")
            is JournalAnswer.Gap -> retryLater(journal, copy, "copy ends at ${answer.nextIndex}", repair = true)
            is JournalAnswer.Unknown -> retryLater(journal, copy, UNKNOWN_COPY, repair = false)
            is JournalAnswer.Failed -> retryLater(journal, copy, answer.message, repair = answer.damaged)
        }
        return answer is JournalAnswer.Accepted
    }

    private fun closeFenced(
        journal: PartitionJournal,
        reason: String,
    ) {
        journals.remove(journal.partition, journal)
        journal.close(reason)
    }

    private fun retryLater(
        journal: PartitionJournal,
        copy: CopyProgress,
        error: String,
        repair: Boolean,
    ) {
        val failures = journal.onFailed(copy, error, repair) ?: return
        if (failures == 1) Logger.warn { "journal: append to ${journal.partition} at ${copy.node} failed: $error" }
        afterBackoff(failures) {
            if (journal.needsRepair) startRepair(journal) else appendExecutors.execute(copy.node) { sendBatches(journal, copy) }
        }
    }

    private fun afterBackoff(
        failures: Int,
        work: () -> Unit,
    ) {
        val millis = minOf(settings.maxRetryMillis, settings.minRetryMillis shl minOf(failures - 1, MAX_BACKOFF_SHIFT))
        try {
            timer.schedule(work, millis, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            // The replicator is closed; no append is acknowledged anymore.
        }
    }

    private fun startRepair(
        journal: PartitionJournal,
        failures: Int = 0,
    ) {
        if (journals[journal.partition] !== journal || !journal.beginRepair()) return
        try {
            recoveryPool.execute { repair(journal, failures) }
        } catch (_: RejectedExecutionException) {
            // The replicator is closed; no append is acknowledged anymore.
        }
    }

    /** Realigns the copies of an active journal after one of them lost its tail or was damaged. */
    private fun repair(
        journal: PartitionJournal,
        failures: Int,
    ) {
        val attempt = nextAttempt()
        val request = AlignmentRequest(journal.partition, journal.epoch, attempt, journal.nodes, journal.nodes, mayCreate = false)
        try {
            val content = alignment.align(request)
            journal.onRepaired(request.finalAttempt, content)
            Logger.info { "journal: copies of ${journal.partition} were repaired at length ${content.nextIndex}" }
            startSending(journal)
        } catch (e: AlignmentException) {
            if (e.sealedEpoch != null) closeFenced(journal, e.message.orEmpty()) else repairLater(journal, failures, e)
        } catch (e: Exception) {
            repairLater(journal, failures, e)
        }
    }

    private fun repairLater(
        journal: PartitionJournal,
        failures: Int,
        cause: Exception,
    ) {
        Logger.warn { "journal: repair of ${journal.partition} failed: ${cause.message}" }
        journal.onRepairFailed(cause.message.orEmpty(), (cause as? AlignmentException)?.node)
        afterBackoff(failures + 1) { startRepair(journal, failures + 1) }
    }

    private fun runRecovery(
        effect: RecoverPartition,
        attempt: Long,
    ) {
        val event =
            try {
                recoverJournal(effect, attempt)
            } catch (e: Exception) {
                PartitionRecoveryFailed(effect.partition, effect.epoch, e.message ?: e.toString(), (e as? AlignmentException)?.node)
            }
        emit(event)
    }

    private fun recoverJournal(
        effect: RecoverPartition,
        attempt: Long,
    ): Event {
        require(effect.journalNodes.isNotEmpty()) { "recovery of ${effect.partition} needs journal nodes, there were none" }
        val request = AlignmentRequest(effect.partition, effect.epoch, attempt, effect.sealNodes, effect.journalNodes, mayCreate = true)
        val content = alignment.align(request)
        val journal = PartitionJournal(effect.partition, effect.epoch, effect.journalNodes, request.finalAttempt, content.nextIndex, emit)
        val isLatest =
            recoveries.computeIfPresent(effect.partition) { _, latest ->
                latest.also {
                    if (it ==
                        attempt
                    ) {
                        journals[effect.partition] = journal
                    }
                }
            }
        if (isLatest != attempt) return PartitionRecoveryFailed(effect.partition, effect.epoch, "superseded by a later request")
        return PartitionRecovered(effect.partition, effect.epoch, effect.journalNodes, content.entries.map { it.record }.withoutReclaimed())
    }

    private fun readAcknowledged(
        journal: PartitionJournal,
        node: NodeId,
        bound: ReclaimBound,
    ): Boolean =
        try {
            val service = peerService(node)
            service != null && service.readAll(journal.partition, journal.acknowledgedTo, settings.pageBytes, bound::add)
        } catch (e: Exception) {
            Logger.warn { "journal: read of ${journal.partition} at $node failed: ${e.message}" }
            false
        }

    private fun reportLateAppends() {
        val now = System.nanoTime()
        val limit = TimeUnit.MILLISECONDS.toNanos(settings.reportMillis)
        journals.values.forEach { it.reportLateAppend(now, limit) }
    }
}

/** Describes why [node] did not accept a request. */
private fun Result<JournalAnswer?>.failureReason(node: NodeId): String =
    fold(
        { answer -> (answer as? JournalAnswer.Failed)?.message ?: answer?.toString() ?: "address of $node is unknown" },
        { it.message ?: it.toString() },
    )

/** Passes the entries before [end] to [consume]. Returns false if some of them can't be read. */
private fun PeerService.readAll(
    partition: PartitionId,
    end: Long,
    pageBytes: Int,
    consume: (JournalEntry) -> Unit,
): Boolean {
    var next = readJournal(JournalRead(partition, 0, maxBytes = 1)).firstIndex
    while (next < end) {
        val page = readJournal(JournalRead(partition, next, pageBytes))
        if (page.error != null || page.entries.isEmpty()) return false
        page.entries.takeWhile { it.index < end }.forEach(consume)
        next = page.entries.last().index + 1
    }
    return true
}
