package lavendertrail.standins

import lavendertrail.ports.CacheEventBatch
import lavendertrail.reducer.CacheEvent
import kotlin.random.Random

/**
 * Simulates an engine's publication of cache events: events become visible after a delay, some are lost, and only a bounded
 * number is kept. A lost event leaves a gap in the sequence numbers. A batch never spans a gap, so a reader detects the gap
 * when a batch starts later than expected. Not thread-safe.
 */
internal class CacheEventLog(
    private val lagMillis: Long,
    private val lossPercent: Int,
    private val random: Random,
    private val clock: () -> Long,
) {
    private class LoggedEvent(
        val sequence: Long,
        val event: CacheEvent,
        val visibleAtMillis: Long,
    )

    private val events = ArrayDeque<LoggedEvent>()
    private var lastSequence = 0L

    fun add(
        prefix: CachedPrefix,
        stored: Boolean,
    ) {
        lastSequence++
        if (random.nextInt(100) < lossPercent) return
        events.addLast(LoggedEvent(lastSequence, CacheEvent(prefix.chainHash, prefix.tokens, stored), clock() + lagMillis))
        if (events.size > MAX_KEPT_EVENTS) events.removeFirst()
    }

    fun clear() {
        events.clear()
        lastSequence = 0
    }

    /** The first contiguous run of visible events after [sequence]. */
    fun batchAfter(
        sequence: Long,
        incarnation: String,
    ): CacheEventBatch {
        val start = if (sequence > lastSequence) 0 else sequence
        val now = clock()
        val visible = events.dropWhile { it.sequence <= start }.takeWhile { it.visibleAtMillis <= now }
        val first = visible.firstOrNull()?.sequence ?: return CacheEventBatch(emptyList(), start + 1, start, incarnation)
        val contiguous = visible.withIndex().takeWhile { (index, logged) -> logged.sequence == first + index }.map { it.value }
        return CacheEventBatch(contiguous.map { it.event }, first, contiguous.last().sequence, incarnation)
    }

    private companion object {
        /** A reader that polls every 5 s misses events only above a rate of 4,000 per second. */
        const val MAX_KEPT_EVENTS = 20_000
    }
}
