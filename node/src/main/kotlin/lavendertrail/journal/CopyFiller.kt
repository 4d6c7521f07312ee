package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.peer.PeerService

/**
 * Makes the copy on one node equal to [content].
 *
 * An owner appends to a copy only after it has made it equal to its own log. So where two copies have the same entry at
 * an index, they have the same entries below it, and the end of the common part is found by a search from the end of
 * the copy backwards. Lengths alone don't tell: a copy that was left out of an earlier epoch may have another tail.
 */
internal class CopyFiller(
    private val service: PeerService,
    private val request: AlignmentRequest,
    private val node: NodeId,
    private val content: AlignedContent,
    private val pageBytes: Int,
) {
    fun fill() {
        val answer = service.sealJournal(JournalSeal(request.partition, request.epoch, request.attempt)).alsoUnlessFenced(node)
        val needsReset =
            when (answer) {
                is JournalAnswer.Unknown -> if (request.mayCreate) true else fail("copy is gone")
                is JournalAnswer.Accepted -> false
                is JournalAnswer.Failed -> if (answer.damaged) false else fail(answer.message)
                else -> fail("unexpected answer $answer to a seal")
            }
        val held = service.readJournal(JournalRead(request.partition, content.firstIndex, maxBytes = 1))
        if (!needsReset && held.error == UNKNOWN_COPY) fail("copy is gone")
        val common = if (needsReset) null else commonEnd(held.firstIndex, held.nextIndex)
        when {
            common == null -> send(content.firstIndex, createIn = held.storeId ?: fail("the node names no store"))
            common < content.nextIndex || held.nextIndex > common || answer !is JournalAnswer.Accepted -> send(common)
        }
    }

    /** Index after the last entry that both have; null where nothing shows that the copies belong together. */
    private fun commonEnd(
        first: Long,
        next: Long,
    ): Long? {
        val low = maxOf(first, content.firstIndex)
        val high = minOf(next, content.nextIndex)
        if (low >= high) return content.firstIndex.takeIf { next == first && first == it }
        var unequal = high
        var step = 1L
        var equal = high - 1
        while (!holds(equal)) {
            if (equal == low) return null
            unequal = equal
            equal = maxOf(low, equal - step)
            step *= 2
        }
        while (equal + 1 < unequal) {
            val middle = (equal + unequal) / 2
            if (holds(middle)) equal = middle else unequal = middle
        }
        return equal + 1
    }

    private fun holds(index: Long): Boolean {
        val page = service.readJournal(JournalRead(request.partition, index, maxBytes = 1))
        return page.entries.firstOrNull()?.isSameAs(content.entries[(index - content.firstIndex).toInt()]) == true
    }

    /** Cuts the copy at [from], or starts a new one in the store [createIn], and sends all entries from there on. */
    private fun send(
        from: Long,
        createIn: String? = null,
    ) {
        var next = from
        do {
            val batch = batchFrom(next)
            val append =
                JournalAppend(
                    partition = request.partition,
                    epoch = request.epoch,
                    entries = batch,
                    truncateTo = next,
                    create = createIn != null && next == from,
                    attempt = request.attempt,
                    storeId = createIn,
                )
            val answer = service.appendJournal(append).alsoUnlessFenced(node)
            next += batch.size
            if ((answer as? JournalAnswer.Accepted)?.nextIndex != next) fail("copy should have length $next, answered $answer")
        } while (next < content.nextIndex)
    }

    private fun batchFrom(index: Long): List<JournalEntry> =
        takeBatch(content.entries.listIterator((index - content.firstIndex).toInt()), pageBytes, Int.MAX_VALUE)

    private fun fail(message: String): Nothing = throw AlignmentException(message, node = node)
}

private const val FIXED_ENTRY_BYTES = 512

/** The next entries up to about [maxBytes], at least one where there is one. */
internal fun takeBatch(
    entries: Iterator<JournalEntry>,
    maxBytes: Int,
    maxEntries: Int,
): List<JournalEntry> {
    val batch = mutableListOf<JournalEntry>()
    var bytes = 0L
    while (entries.hasNext() && batch.size < maxEntries && bytes < maxBytes) {
        val entry = entries.next()
        batch += entry
        bytes += FIXED_ENTRY_BYTES + (entry.record.content?.length ?: 0)
    }
    return batch
}
