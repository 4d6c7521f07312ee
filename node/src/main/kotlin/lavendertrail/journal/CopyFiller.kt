package lavendertrail.journal

import lavendertrail.model.NodeId
import lavendertrail.peer.PeerService

/**
 * Makes the copy on one node equal to [content].
 *
 * An owner appends to a copy only after it has made the copy equal to its own log. Two copies with the same entry at an
 * index therefore have the same entries below it, and a backward search from the end of the copy finds the end of the
 * common prefix. Comparing lengths is not sufficient: a copy that did not take part in an earlier epoch may have a
 * different tail.
 */
internal class CopyFiller(
    private val service: PeerService,
    private val request: AlignmentRequest,
    private val node: NodeId,
    private val content: AlignedContent,
    private val pageBytes: Int,
) {
    fun fill() {
        val answer = service.sealJournal(JournalSeal(request.partition, request.epoch, request.attempt)).throwIfFenced(node)
        val needsReset =
            when (answer) {
                is JournalAnswer.Unknown -> if (request.mayCreate) true else fail("node no longer has a copy")
                is JournalAnswer.Accepted -> false
                is JournalAnswer.Failed -> if (answer.damaged) false else fail(answer.message)
                else -> fail("unexpected answer $answer to a seal")
            }
        val held = service.readJournal(JournalRead(request.partition, content.firstIndex, maxBytes = 1))
        if (!needsReset && held.error == UNKNOWN_COPY) fail("node no longer has a copy")
        val common = if (needsReset) null else commonPrefixEnd(held.firstIndex, held.nextIndex)
        when {
            common == null -> sendFrom(content.firstIndex, createIn = held.storeId ?: fail("node reported no store id"))
            common < content.nextIndex || held.nextIndex > common || answer !is JournalAnswer.Accepted -> sendFrom(common)
        }
    }

    /** Returns the index after the common prefix, or null if the copy shares no entry with [content]. */
    private fun commonPrefixEnd(
        first: Long,
        next: Long,
    ): Long? {
        val low = maxOf(first, content.firstIndex)
        val high = minOf(next, content.nextIndex)
        if (low >= high) return content.firstIndex.takeIf { next == first && first == it }
        var unequal = high
        var step = 1L
        var equal = high - 1
        while (!matchesAt(equal)) {
            if (equal == low) return null
            unequal = equal
            equal = maxOf(low, equal - step)
            step *= 2
        }
        while (equal + 1 < unequal) {
            val middle = (equal + unequal) / 2
            if (matchesAt(middle)) equal = middle else unequal = middle
        }
        return equal + 1
    }

    private fun matchesAt(index: Long): Boolean {
        val page = service.readJournal(JournalRead(request.partition, index, maxBytes = 1))
        return page.entries.firstOrNull()?.isSameAs(content.entries[(index - content.firstIndex).toInt()]) == true
    }

    /** Truncates the copy to length [from], or creates a copy in the store [createIn], and sends all entries from [from] on. */
    private fun sendFrom(
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
            val answer = service.appendJournal(append).throwIfFenced(node)
            next += batch.size
            if ((answer as? JournalAnswer.Accepted)?.nextIndex != next) fail("append did not reach length $next, answer was $answer")
        } while (next < content.nextIndex)
    }

    private fun batchFrom(index: Long): List<JournalEntry> =
        takeBatch(content.entries.listIterator((index - content.firstIndex).toInt()), pageBytes, Int.MAX_VALUE)

    private fun fail(message: String): Nothing = throw AlignmentException(message, node = node)
}

/** Estimated size of an entry without its content. */
private const val ENTRY_OVERHEAD_BYTES = 512

/** Takes the next entries up to about [maxBytes], at least one if there is any. */
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
        bytes += ENTRY_OVERHEAD_BYTES + (entry.record.content?.length ?: 0)
    }
    return batch
}
