package lavendertrail.node

import com.github.michaelbull.result.fold
import kotlinx.serialization.SerializationException
import lavendertrail.membership.NodeRecord
import lavendertrail.membership.PartitionRecord
import lavendertrail.model.NodeId
import lavendertrail.model.PartitionId
import lavendertrail.ports.KeyValue
import lavendertrail.ports.KeyValueService
import lavendertrail.ports.KeyValueSnapshot
import lavendertrail.ports.WatchBatch
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeRecordsRead
import lavendertrail.reducer.PartitionRecordRead
import lavendertrail.reducer.PoisonLearned
import lavendertrail.reducer.PoisonMark
import lavendertrail.reducer.StoredRecord
import org.tinylog.kotlin.Logger
import java.util.concurrent.ThreadLocalRandom

/**
 * Follows all records in the key-value service with one watch. After a watch has ended, all records are listed again, so that
 * no change in between is missed; keys that are no longer listed count as deleted.
 */
internal class ServiceWatch(
    private val service: KeyValueService,
    private val background: BackgroundExecutor,
    private val idleLimitMillis: Long,
    private val emit: (Event) -> Unit,
) : AutoCloseable {
    private val knownKeys = mutableSetOf<String>()
    private val nodes = mutableMapOf<NodeId, NodeRecord>()
    private var configRevision = 0L
    private var failures = 0
    private var watch: AutoCloseable? = null
    private var closed = false

    fun start(): Unit = background.run("service list") { listAndWatch() }

    @Synchronized
    override fun close() {
        closed = true
        watch?.close()
    }

    /** Lists all records and opens the next watch; retries after a delay if the service doesn't answer. */
    @Synchronized
    internal fun listAndWatch() {
        if (closed) return
        service.range(ServiceKeys.ROOT).fold(
            { snapshot ->
                failures = 0
                apply(snapshot)
                watch =
                    service.watch(ServiceKeys.ROOT, snapshot.revision, idleLimitMillis, ::apply) { error -> scheduleList(error.toString()) }
            },
            { error -> scheduleList(error.toString()) },
        )
    }

    private fun scheduleList(reason: String) {
        val delayMillis = nextDelayMillis()
        if (closed) return
        Logger.info("service: watch ended ($reason), listing again in $delayMillis ms")
        background.schedule(delayMillis, "service list") { listAndWatch() }
    }

    /** Random delays keep all nodes from listing at once when the service is reachable again. */
    private fun nextDelayMillis(): Long {
        failures = minOf(failures + 1, MAX_DOUBLINGS)
        val ceiling = FIRST_RETRY_MILLIS shl failures
        return ThreadLocalRandom.current().nextLong(ceiling / 2, ceiling)
    }

    private fun apply(snapshot: KeyValueSnapshot) {
        val deleted = knownKeys - snapshot.entries.mapTo(mutableSetOf()) { it.key }
        apply(WatchBatch(snapshot.entries, deleted.toList(), snapshot.revision), isFullList = true)
    }

    @Synchronized
    private fun apply(batch: WatchBatch): Unit = apply(batch, isFullList = false)

    private fun apply(
        batch: WatchBatch,
        isFullList: Boolean,
    ) {
        knownKeys += batch.changed.map { it.key }
        knownKeys -= batch.deletedKeys.toSet()
        applyNodes(batch, isFullList)
        applyPartitions(batch)
        applyConfig(batch, isFullList)
        applyPoison(batch)
    }

    private fun applyNodes(
        batch: WatchBatch,
        isFullList: Boolean,
    ) {
        val changed = batch.changed.withPrefix(ServiceKeys.NODES)
        val deleted = batch.deletedKeys.filter { it.startsWith(ServiceKeys.NODES) }
        changed.mapNotNull { decodeOrNull<NodeRecord>(it) }.forEach { nodes[it.node] = it }
        deleted.forEach { nodes -= NodeId(it.removePrefix(ServiceKeys.NODES)) }
        if (isFullList || changed.isNotEmpty() || deleted.isNotEmpty()) emit(NodeRecordsRead(nodes.values.toList()))
    }

    private fun applyPartitions(batch: WatchBatch) {
        batch.changed.withPrefix(ServiceKeys.PARTITIONS).forEach { entry ->
            val partition = partitionOf(entry.key)
            val record = decodeOrNull<PartitionRecord>(entry)
            if (partition != null && record != null) emit(PartitionRecordRead(partition, record, entry.revision))
        }
        batch.deletedKeys.filter { it.startsWith(ServiceKeys.PARTITIONS) }.mapNotNull(::partitionOf).forEach {
            emit(PartitionRecordRead(it, null, 0))
        }
    }

    private fun partitionOf(key: String): PartitionId? =
        key
            .removePrefix(ServiceKeys.PARTITIONS)
            .toIntOrNull()
            ?.takeIf { it in 0 until PartitionId.COUNT }
            ?.let { PartitionId(it) }

    /** The head is the highest revision of a configuration record, because other keys raise the service's revision too. */
    private fun applyConfig(
        batch: WatchBatch,
        isFullList: Boolean,
    ) {
        val changed =
            batch.changed.withPrefix(ServiceKeys.CONFIG).mapNotNull { toStoredRecord(it.key, it.value, it.revision, deleted = false) }
        val deleted =
            batch.deletedKeys
                .filter { it.startsWith(ServiceKeys.CONFIG) }
                .mapNotNull { toStoredRecord(it, "", batch.revision, deleted = true) }
        val records = changed + deleted
        configRevision = maxOf(configRevision, records.maxOfOrNull { it.revision } ?: 0)
        val headRevision = if (isFullList) batch.revision else configRevision
        if (isFullList || records.isNotEmpty()) emit(ConfigRecordsReceived(records, headRevision, "service", complete = isFullList))
    }

    private fun applyPoison(batch: WatchBatch) {
        val marks = batch.changed.withPrefix(ServiceKeys.POISON).mapNotNull { decodeOrNull<PoisonMark>(it) }
        if (marks.isNotEmpty()) emit(PoisonLearned(marks))
    }

    private inline fun <reified T> decodeOrNull(entry: KeyValue): T? =
        try {
            ServiceKeys.json.decodeFromString<T>(entry.value)
        } catch (error: SerializationException) {
            Logger.warn("service: record '${entry.key}' can't be read: ${error.message}")
            null
        }

    private companion object {
        const val FIRST_RETRY_MILLIS = 100L
        const val MAX_DOUBLINGS = 5
    }
}

private fun List<KeyValue>.withPrefix(prefix: String): List<KeyValue> = filter { it.key.startsWith(prefix) }

private fun toStoredRecord(
    key: String,
    json: String,
    revision: Long,
    deleted: Boolean,
): StoredRecord? {
    val path = key.removePrefix(ServiceKeys.CONFIG)
    if ('/' !in path) return null
    return StoredRecord(path.substringBefore('/'), path.substringAfter('/'), json, revision, deleted)
}
