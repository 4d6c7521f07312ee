package lavendertrail.program

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import lavendertrail.model.CallId
import lavendertrail.model.ProgramId

/** Something to check at a time. The check compares the state of that time, so an entry is never taken back. */
internal sealed interface Due {
    data class ProgramDeadline(
        val program: ProgramId,
    ) : Due

    data class CallDeadline(
        val call: CallId,
    ) : Due

    data class WaitingLimit(
        val call: CallId,
    ) : Due

    data class CancelLimit(
        val call: CallId,
    ) : Due

    data class Forget(
        val program: ProgramId,
    ) : Due
}

/** Entries are at most this much late. Shorter buckets would only add lookups to each tick. */
private const val BUCKET_MILLIS = 50L

/** Deadlines in buckets of time. A tick looks at the buckets since the tick before only. */
internal data class DeadlineIndex(
    private val buckets: PersistentMap<Long, PersistentList<Due>> = persistentHashMapOf(),
    private val nextBucket: Long = 0,
) {
    fun plus(
        dueMillis: Long,
        due: Due,
    ): DeadlineIndex {
        val bucket = maxOf((dueMillis + BUCKET_MILLIS - 1) / BUCKET_MILLIS, nextBucket)
        return copy(buckets = buckets.put(bucket, (buckets[bucket] ?: persistentListOf()).add(due)))
    }

    /** What is due at [nowMillis], in the order of time, and the index without it. */
    fun takeDue(nowMillis: Long): Pair<List<Due>, DeadlineIndex> {
        val last = nowMillis / BUCKET_MILLIS
        if (last < nextBucket) return emptyList<Due>() to this
        val elapsed = elapsedBuckets(last)
        val due = elapsed.flatMap { buckets.getValue(it) }
        val rest = elapsed.fold(buckets) { map, bucket -> map.remove(bucket) }
        return due to DeadlineIndex(rest, last + 1)
    }

    /** After a long pause there are fewer buckets in use than have elapsed. */
    private fun elapsedBuckets(last: Long): List<Long> =
        if (last - nextBucket < buckets.size) {
            (nextBucket..last).filter { it in buckets }
        } else {
            buckets.keys.filter { it <= last }.sorted()
        }
}
