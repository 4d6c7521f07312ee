package lavendertrail.standins

import lavendertrail.ports.KeyValue
import lavendertrail.ports.WatchBatch
import java.util.concurrent.CopyOnWriteArrayList

/** Receives the reports of one watch. Its functions are called from the stand-in's report thread, one at a time. */
internal interface WatchSink {
    fun reportChanges(
        changes: List<StoredChange>,
        revision: Long,
    )

    /** The changes at the requested revision have been compacted. A watch can start at [firstWatchableRevision] or later. */
    fun reportCompacted(firstWatchableRevision: Long)

    fun reportBroken(reason: String)
}

/** One open watch. [nextRevision] is the first revision that it has not reported yet. */
internal class Watcher(
    val range: KeyRange,
    var nextRevision: Long,
    val sink: WatchSink,
) {
    var lastReportMillis: Long = System.currentTimeMillis()
}

/** The open watches of a [KeyValueStandin]. */
internal class KeyValueWatchers {
    private val watchers = CopyOnWriteArrayList<Watcher>()

    val count: Int get() = watchers.size

    fun add(watcher: Watcher) {
        watchers.add(watcher)
    }

    fun remove(watcher: Watcher) {
        watchers.remove(watcher)
    }

    fun breakAll(reason: String) {
        val broken = watchers.toList()
        watchers.removeAll(broken.toSet())
        broken.forEach { it.sink.reportBroken(reason) }
    }

    /** Reports to each watch the changes from [read], or a progress notification after [progressIntervalMillis] without a report. */
    fun reportToAll(
        progressIntervalMillis: Long,
        read: (Watcher) -> WatchUpdate,
    ) {
        val now = System.currentTimeMillis()
        for (watcher in watchers) {
            val update = read(watcher)
            if (update.compactedBelow != null) {
                remove(watcher)
                watcher.sink.reportCompacted(update.compactedBelow)
            } else if (update.changes.isNotEmpty() || now - watcher.lastReportMillis >= progressIntervalMillis) {
                watcher.nextRevision = update.revision + 1
                watcher.lastReportMillis = now
                watcher.sink.reportChanges(update.changes, update.revision)
            }
        }
    }
}

/** The pending changes of one watch up to [revision]. [compactedBelow] is set if changes it needs have been compacted. */
internal class WatchUpdate(
    val changes: List<StoredChange>,
    val revision: Long,
    val compactedBelow: Long?,
)

internal fun toBatch(
    changes: List<StoredChange>,
    revision: Long,
): WatchBatch =
    WatchBatch(
        changed = changes.mapNotNull { change -> change.value?.let { KeyValue(change.key, it, change.revision) } },
        deletedKeys = changes.filter { it.value == null }.map { it.key },
        revision = revision,
    )
