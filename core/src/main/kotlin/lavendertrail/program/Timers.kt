package lavendertrail.program

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallId
import lavendertrail.model.ProgramId

/**
 * A check that is due at a point in time. Timers are never cancelled: the check reads the current state and does nothing if it no
 * longer applies.
 */
internal sealed interface Timer {
    data class ProgramDeadline(
        val program: ProgramId,
    ) : Timer

    data class CallDeadline(
        val call: CallId,
    ) : Timer

    data class WaitingTimeout(
        val call: CallId,
    ) : Timer

    data class CancelTimeout(
        val call: CallId,
    ) : Timer

    data class ProgramEviction(
        val program: ProgramId,
    ) : Timer
}

/** Bucket size. A timer is late by at most this much; shorter buckets would add lookups to each tick. */
private const val BUCKET_MILLIS = 50L

/** Timers in buckets by due time. A tick visits only the buckets since the previous tick. */
internal data class TimerIndex(
    private val buckets: PersistentMap<Long, PersistentList<Timer>> = persistentHashMapOf(),
    private val nextBucket: Long = 0,
) {
    fun plus(
        dueMillis: Long,
        timer: Timer,
    ): TimerIndex {
        val bucket = maxOf((dueMillis + BUCKET_MILLIS - 1) / BUCKET_MILLIS, nextBucket)
        return copy(buckets = buckets.put(bucket, (buckets[bucket] ?: persistentListOf()).add(timer)))
    }

    /** Returns the timers that are due at [nowMillis], ordered by bucket, and the index without them. */
    fun takeDue(nowMillis: Long): Pair<List<Timer>, TimerIndex> {
        val last = nowMillis / BUCKET_MILLIS
        if (last < nextBucket) return emptyList<Timer>() to this
        val elapsed = elapsedBuckets(last)
        val due = elapsed.flatMap { buckets.getValue(it) }
        val rest = elapsed.fold(buckets) { map, bucket -> map.remove(bucket) }
        return due to TimerIndex(rest, last + 1)
    }

    /** Iterates over the elapsed buckets or over the buckets in use, whichever are fewer: many have elapsed after a long pause. */
    private fun elapsedBuckets(last: Long): List<Long> =
        if (last - nextBucket < buckets.size) {
            (nextBucket..last).filter { it in buckets }
        } else {
            buckets.keys.filter { it <= last }.sorted()
        }
}
