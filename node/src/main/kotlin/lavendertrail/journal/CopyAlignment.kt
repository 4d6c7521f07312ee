package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.model.StepError
import lavendertrail.peer.PeerService
import org.tinylog.kotlin.Logger
import java.util.concurrent.ExecutionException
import java.util.concurrent.Future

/** Brings the copies on [journalNodes] to the content of the best copy on [sealNodes]. [mayCreate] allows new copies. */
internal data class AlignmentRequest(
    val partition: PartitionId,
    val epoch: Long,
    /** Used by the requests that change copies; the seal that ends the alignment uses the next number. */
    val attempt: Long,
    val sealNodes: List<NodeId>,
    val journalNodes: List<NodeId>,
    val mayCreate: Boolean,
) {
    val finalAttempt get() = attempt + 1
}

/** What all journal nodes hold after an alignment. */
internal class AlignedContent(
    val firstIndex: Long,
    val entries: List<JournalEntry>,
) {
    val nextIndex get() = firstIndex + entries.size
}

/** An alignment did not succeed. [sealedEpoch] is set where a copy is sealed at a higher epoch; [node] failed at the end. */
internal class AlignmentException(
    message: String,
    val sealedEpoch: Long? = null,
    val node: NodeId? = null,
) : Exception(message)

/**
 * Seals copies, chooses the best one and makes others equal to it.
 *
 * One copy suffices to decide, as every acknowledged entry is on all copies of the pair: any complete copy has all of
 * them. Where none of the reachable copies is complete, all have to be reachable. The final seal carries a higher
 * attempt than the requests that cut and filled the copies, so none of those can take effect after it.
 */
internal class CopyAlignment(
    private val peers: (NodeId) -> PeerService?,
    private val lanes: NodeLanes,
    private val pageBytes: Int,
) {
    private class Candidate(
        val node: NodeId,
        val state: JournalAnswer.Accepted,
    )

    /** Throws [AlignmentException] unless all journal nodes hold the returned content, complete and sealed. */
    fun align(request: AlignmentRequest): AlignedContent {
        val isNew = request.sealNodes.isEmpty()
        val sealNodes = if (isNew) request.journalNodes else request.sealNodes
        val answers = inParallel(sealNodes, "journal seal") { seal(request, it) }
        val content = readBest(request, answers, allowNone = isNew)
        inParallel(request.journalNodes, "journal copy") { node -> CopyFiller(service(node), request, node, content, pageBytes).fill() }
            .orThrow()
        inParallel(request.journalNodes, "journal final seal") { node -> confirm(request, node, content.nextIndex) }.orThrow()
        return content
    }

    private fun seal(
        request: AlignmentRequest,
        node: NodeId,
    ) = service(node).sealJournal(JournalSeal(request.partition, request.epoch, request.attempt)).alsoUnlessFenced(node)

    private fun confirm(
        request: AlignmentRequest,
        node: NodeId,
        length: Long,
    ) {
        val seal = JournalSeal(request.partition, request.epoch, request.finalAttempt, completeAt = length)
        val answer = service(node).sealJournal(seal).alsoUnlessFenced(node)
        val equal = answer is JournalAnswer.Accepted && answer.complete && answer.nextIndex == length
        if (!equal) throw AlignmentException("copy should be complete at length $length, answered $answer", node = node)
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
        val problems = answers.filterKeys { node -> usable.none { it.node == node } }.mapValues { it.value.problem() }.toMutableMap()
        while (allowNone || remaining.any { it.state.complete } || (remaining.isNotEmpty() && problems.isEmpty())) {
            val best = remaining.lastOrNull() ?: break
            if (!best.state.complete) Logger.warn { "journal: partition ${request.partition} continues from copies that lost power" }
            try {
                return readAll(request, best)
            } catch (e: Exception) {
                if (e is InterruptedException) throw e
                problems[best.node] = e.message.orEmpty()
                remaining = remaining - best
            }
        }
        throw AlignmentException("no copy that is known to be complete, of ${answers.size}: ${problems.ifEmpty { "none answered" }}")
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

    private fun service(node: NodeId): PeerService = peers(node) ?: throw AlignmentException("no address of $node is known", node = node)

    private fun <T> inParallel(
        nodes: List<NodeId>,
        step: String,
        work: (NodeId) -> T,
    ): Map<NodeId, Result<T>> {
        val futures = nodes.associateWith { node -> lanes.submit(node) { work(node) } }
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

    private fun <T> Map<NodeId, Result<T>>.orThrow() {
        val failures = values.mapNotNull { it.exceptionOrNull() }
        failures.firstOrNull { (it as? AlignmentException)?.sealedEpoch != null }?.let { throw it }
        failures.firstOrNull()?.let { throw it }
    }
}

/** Turns the answer that a newer owner has sealed the copy into an exception. */
internal fun JournalAnswer.alsoUnlessFenced(node: NodeId): JournalAnswer {
    if (this is JournalAnswer.Fenced) throw AlignmentException("copy is sealed at epoch $sealedEpoch", sealedEpoch, node)
    return this
}

private fun Result<JournalAnswer>.problem(): String = fold({ it.toString() }, { it.message.orEmpty() })
