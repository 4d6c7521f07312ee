package lavendertrail.gateway

import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.WatchBatch
import java.util.concurrent.ConcurrentHashMap

/** A local copy of the platform's store as last reported by a [StoreWatcher], so that lookups need no remote call. */
public class StoreMirror {
    private val entries = ConcurrentHashMap<String, KeyValue>()

    /** Whether a snapshot has been received and the store has been reachable since. */
    @Volatile
    public var isCurrent: Boolean = false
        private set

    public fun listener(): StoreListener = StoreListener(::replace, ::applyChanges, onReachable = { if (!it) isCurrent = false })

    public operator fun get(key: String): KeyValue? = entries[key]

    public fun keys(prefix: String): Set<String> = entries.keys.filterTo(mutableSetOf()) { it.startsWith(prefix) }

    private fun replace(snapshot: KeyValueSnapshot) {
        val listed = snapshot.entries.associateBy { it.key }
        entries.keys.retainAll(listed.keys)
        entries.putAll(listed)
        isCurrent = true
    }

    private fun applyChanges(batch: WatchBatch) {
        batch.changed.forEach { entries.merge(it.key, it, ::newer) }
        batch.deletedKeys.forEach { entries.remove(it) }
    }

    private fun newer(
        known: KeyValue,
        changed: KeyValue,
    ) = if (changed.revision >= known.revision) changed else known
}
