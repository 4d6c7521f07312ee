package lavendertrail.standins

import lavendertrail.ports.KeyValue
import lavendertrail.ports.WatchBatch
import java.util.concurrent.CopyOnWriteArrayList

/** Receives what one watch reports; called from the stand-in's own thread, one call at a time. */
internal interface WatchSink {
    fun batch(
        changes: List<StoredChange>,
        revision: Long,
    )

    /** The wanted changes are gone; watching is possible from [firstWatchable] on. */
    fun compacted(firstWatchable: Long)

    fun broken(reason: String)
}

/** One open watch. [next] is the first revision that it has not reported yet. */
internal class Watcher(
    val range: KeyRange,
    var next: Long,
    val sink: WatchSink,
) {
    var reportedAtMillis: Long = System.currentTimeMillis()
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
        broken.forEach { it.sink.broken(reason) }
    }

    /** Reports to each watch what [read] finds for it, and a progress note after [progressMillis] without one. */
    fun deliver(
        progressMillis: Long,
        read: (Watcher) -> WatchNews,
    ) {
        val now = System.currentTimeMillis()
        for (watcher in watchers) {
            val news = read(watcher)
            if (news.compactedBelow != null) {
                remove(watcher)
                watcher.sink.compacted(news.compactedBelow)
            } else if (news.changes.isNotEmpty() || now - watcher.reportedAtMillis >= progressMillis) {
                watcher.next = news.revision + 1
                watcher.reportedAtMillis = now
                watcher.sink.batch(news.changes, news.revision)
            }
        }
    }
}

/** What there is to report to one watch. */
internal class WatchNews(
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
