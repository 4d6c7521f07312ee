package lavendertrail.standins

import lavendertrail.ports.CacheEventBatch
import lavendertrail.reducer.CacheEvent
import kotlin.random.Random

/**
 * Cache events as an engine publishes them: late, a bounded number, and some lost. A lost event leaves a hole in the
 * sequence, and a batch never spans a hole, so a reader sees the hole as a jump of the first sequence. Not thread-safe.
 */
internal class CacheEventLog(
    private val lagMillis: Long,
    private val lossPercent: Int,
    private val random: Random,
    private val clock: () -> Long,
) {
    private class Logged(
        val sequence: Long,
        val event: CacheEvent,
        val visibleAtMillis: Long,
    )

    private val events = ArrayDeque<Logged>()
    private var lastSequence = 0L

    fun add(
        prefix: CachedPrefix,
        stored: Boolean,
    ) {
        lastSequence++
        if (random.nextInt(100) < lossPercent) return
        events.addLast(Logged(lastSequence, CacheEvent(prefix.chainHash, prefix.tokens, stored), clock() + lagMillis))
        if (events.size > KEPT_EVENTS) events.removeFirst()
    }

    fun clear() {
        events.clear()
        lastSequence = 0
    }

    /** The first run of visible events after [sequence] without a hole. */
    fun after(
        sequence: Long,
        incarnation: String,
    ): CacheEventBatch {
        val start = if (sequence > lastSequence) 0 else sequence
        val now = clock()
        val visible = events.dropWhile { it.sequence <= start }.takeWhile { it.visibleAtMillis <= now }
        val first = visible.firstOrNull()?.sequence ?: return CacheEventBatch(emptyList(), start + 1, start, incarnation)
        val run = visible.withIndex().takeWhile { (index, logged) -> logged.sequence == first + index }.map { it.value }
        return CacheEventBatch(run.map { it.event }, first, run.last().sequence, incarnation)
    }

    private companion object {
        /** A reader that polls every 5 s loses events only above 4,000 of them per second. */
        const val KEPT_EVENTS = 20_000
    }
}
