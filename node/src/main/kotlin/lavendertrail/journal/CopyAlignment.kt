package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.StepError
import lavendertrail.peer.PeerService
import org.tinylog.kotlin.Logger
import java.util.concurrent.ExecutionException
import java.util.concurrent.Future

/** Request to make the copies on [journalNodes] equal to the best copy on [sealNodes]. [mayCreate] allows creating copies. */
internal data class AlignmentRequest(
    val partition: PartitionId,
    val epoch: Long,
    /** Attempt number of the requests that change copies. The final seal uses [finalAttempt]. */
    val attempt: Long,
    val sealNodes: List<NodeId>,
    val journalNodes: List<NodeId>,
    val mayCreate: Boolean,
) {
    val finalAttempt get() = attempt + 1
}

/** Entries that all journal nodes hold after an alignment. */
internal class AlignedContent(
    val firstIndex: Long,
    val entries: List<JournalEntry>,
) {
    val nextIndex get() = firstIndex + entries.size
}

/** Thrown when an alignment fails. [sealedEpoch] is set if a copy is sealed at a higher epoch; [node] is the node that failed, if known. */
internal class AlignmentException(
    message: String,
    val sealedEpoch: Long? = null,
    val node: NodeId? = null,
) : Exception(message)

/**
 * Seals the copies of a partition, chooses the best one and makes the others equal to it.
 *
 * A single complete copy is sufficient, because every acknowledged entry is on both copies. If none of the reachable
 * copies is complete, all copies have to be reachable. The final seal has a higher attempt number than the requests
 * that truncated and filled the copies, so that a delayed request can't take effect after it.
 */
internal class CopyAlignment(
    private val peers: (NodeId) -> PeerService?,
    private val executors: NodeExecutors,
    private val pageBytes: Int,
) {
    private class Candidate(
        val node: NodeId,
        val state: JournalAnswer.Accepted,
    )

    /**
     * Aligns the copies and returns their common content. Throws [AlignmentException] unless all journal nodes hold this
     * content in a copy that is complete and sealed.
     */
    fun align(request: AlignmentRequest): AlignedContent {
        val isNew = request.sealNodes.isEmpty()
        val sealNodes = if (isNew) request.journalNodes else request.sealNodes
        val answers = inParallel(sealNodes, "journal seal") { seal(request, it) }
        val content = readBest(request, answers, allowNone = isNew)
        inParallel(request.journalNodes, "journal copy") { node -> CopyFiller(service(node), request, node, content, pageBytes).fill() }
            .throwFirstFailure()
        inParallel(request.journalNodes, "journal final seal") { node -> confirmComplete(request, node, content.nextIndex) }
            .throwFirstFailure()
        return content
    }

    private fun seal(
        request: AlignmentRequest,
        node: NodeId,
    ) = service(node).sealJournal(JournalSeal(request.partition, request.epoch, request.attempt)).throwIfFenced(node)

    private fun confirmComplete(
        request: AlignmentRequest,
        node: NodeId,
        length: Long,
    ) {
        val seal = JournalSeal(request.partition, request.epoch, request.finalAttempt, completeAt = length)
        val answer = service(node).sealJournal(seal).throwIfFenced(node)
        val equal = answer is JournalAnswer.Accepted && answer.complete && answer.nextIndex == length
        if (!equal) throw AlignmentException("copy is not complete at length $length after the final seal, answer was $answer", node = node)
    }

    private fun readBest(
        request: AlignmentRequest,
        answers: Map<NodeId, Result<JournalAnswer>>,
        allowNone: Boolean,
    ): AlignedContent {
        answers.values.forEach { answer -> (answer.exceptionOrNull() as? AlignmentException)?.let { if (it.sealedEpoch != null) throw it } }
        val usable = answers.mapNotNull { (node, answer) -> (answer.getOrNull() as? JournalAnswer.Accepted)?.let { Candidate(node, it) } }
        if (usable.isEmpty() && allowNone) return AlignedContent(0, emptyList())
        var remaining = usable.sortedWith(compareBy({ it.state.lastEpoch }, { it.state.nextIndex }, { it.state.complete }))
        val failures = answers.filterKeys { node -> usable.none { it.node == node } }.mapValues { it.value.failureText() }.toMutableMap()
        while (allowNone || remaining.any { it.state.complete } || (remaining.isNotEmpty() && failures.isEmpty())) {
            val best = remaining.lastOrNull() ?: break
            if (!best.state.complete) Logger.warn { "journal: partition ${request.partition} is recovered from a possibly incomplete copy" }
            try {
                return readAll(request, best)
            } catch (e: Exception) {
                if (e is InterruptedException) throw e
                failures[best.node] = e.message.orEmpty()
                remaining = remaining - best
            }
        }
        val cause = failures.ifEmpty { "no node answered" }
        throw AlignmentException(
            "alignment of partition ${request.partition} at epoch ${request.epoch}: " +
                "none of ${answers.size} copies is known to be complete: $cause",
        )
    }

    private fun readAll(
        request: AlignmentRequest,
        best: Candidate,
    ): AlignedContent {
        val service = service(best.node)
        val entries = mutableListOf<JournalEntry>()
        val first = service.readJournal(JournalRead(request.partition, 0, maxBytes = 1)).firstIndex
        while (first + entries.size < best.state.nextIndex) {
            val page = service.readJournal(JournalRead(request.partition, first + entries.size, pageBytes))
            val expected = first + entries.size
            val usable = page.error == null && page.entries.firstOrNull()?.index == expected
            if (!usable) throw AlignmentException("read of entry $expected failed: ${page.error ?: "no entry"}", node = best.node)
            entries += page.entries
        }
        return AlignedContent(first, entries)
    }

    private fun service(node: NodeId): PeerService = peers(node) ?: throw AlignmentException("address of $node is unknown", node = node)

    private fun <T> inParallel(
        nodes: List<NodeId>,
        step: String,
        work: (NodeId) -> T,
    ): Map<NodeId, Result<T>> {
        val futures = nodes.associateWith { node -> executors.submit(node) { work(node) } }
        return futures.mapValues { (node, future) -> future.result(step, node) }
    }

    private fun <T> Future<T>.result(
        step: String,
        node: NodeId,
    ): Result<T> =
        try {
            Result.success(get())
        } catch (e: ExecutionException) {
            val cause = e.cause as? AlignmentException
            val text = StepError(step, node.value, e.cause?.message.orEmpty()).toString()
            Result.failure(AlignmentException(text, cause?.sealedEpoch, node))
        }

    private fun <T> Map<NodeId, Result<T>>.throwFirstFailure() {
        val failures = values.mapNotNull { it.exceptionOrNull() }
        failures.firstOrNull { (it as? AlignmentException)?.sealedEpoch != null }?.let { throw it }
        failures.firstOrNull()?.let { throw it }
    }
}

/** Throws [AlignmentException] if the copy is sealed at a higher epoch; otherwise returns this answer. */
internal fun JournalAnswer.throwIfFenced(node: NodeId): JournalAnswer {
    if (this is JournalAnswer.Fenced) {
        throw AlignmentException("copy is sealed at epoch $sealedEpoch, above the epoch of the request", sealedEpoch, node)
    }
    return this
}

private fun Result<JournalAnswer>.failureText(): String = fold({ it.toString() }, { it.message.orEmpty() })
