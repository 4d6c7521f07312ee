package lavendertrail.standins

import lavendertrail.ports.KeyValue
import java.util.TreeMap

/** A change of one key; [value] is null if the key was deleted. */
internal data class StoredChange(
    val revision: Long,
    val key: String,
    val value: String?,
)

/** The keys from [from], inclusive, to [until], exclusive. A null [until] means the single key [from], an empty one no upper bound. */
internal data class KeyRange(
    val from: String,
    val until: String?,
) {
    fun contains(key: String): Boolean =
        when {
            until == null -> key == from
            until.isEmpty() -> key >= from
            else -> key >= from && key < until
        }

    companion object {
        fun prefix(prefix: String): KeyRange =
            if (prefix.isEmpty()) KeyRange("", "") else KeyRange(prefix, prefix.dropLast(1) + (prefix.last() + 1))
    }
}

/** One operation of a transaction. */
internal sealed interface KeyValueOperation {
    data class Put(
        val key: String,
        val value: String,
        val leaseId: Long?,
    ) : KeyValueOperation

    data class Delete(
        val range: KeyRange,
    ) : KeyValueOperation

    data class Read(
        val range: KeyRange,
    ) : KeyValueOperation
}

internal data class TransactionAnswer(
    val succeeded: Boolean,
    val revision: Long,
    val answers: List<OperationAnswer>,
)

/** [found] are the keys that were read; [deleted] counts the keys that were deleted. */
internal data class OperationAnswer(
    val operation: KeyValueOperation,
    val found: List<KeyValue> = emptyList(),
    val deleted: Int = 0,
)

/** The requested lease doesn't exist or has expired. */
internal class UnknownLeaseException(
    leaseId: Long,
) : IllegalArgumentException("requested lease $leaseId not found")

/**
 * Keys, revisions and leases of the key-value stand-in. All changes of a transaction share one revision. Leases expire by
 * [clock] when [expireLeases] is called. Not thread-safe; [KeyValueStandin] holds the lock.
 */
internal class KeyValueStore(
    private val settings: KeyValueSettings,
    private val clock: () -> Long,
) {
    private class Entry(
        val value: String,
        val revision: Long,
        val leaseId: Long?,
    )

    private class Lease(
        val ttlMillis: Long,
        var expiresAtMillis: Long,
    )

    private val entries = TreeMap<String, Entry>()
    private val leases = TreeMap<Long, Lease>()
    private val changes = ArrayDeque<StoredChange>()
    private var lastLeaseId = 7_000L

    /** The revision of the latest change. A new store starts at 1, as in etcd. */
    var revision: Long = 1
        private set

    /** The oldest revision that a watch can start at. */
    var firstWatchableRevision: Long = 1
        private set

    fun read(range: KeyRange): List<KeyValue> {
        val tail = entries.tailMap(range.from, true).entries
        return tail
            .asSequence()
            .takeWhile { range.contains(it.key) }
            .map { KeyValue(it.key, it.value.value, it.value.revision) }
            .toList()
    }

    fun revisionOf(key: String): Long = entries[key]?.revision ?: 0

    /** Runs [onSuccess] if all keys of [expected] have the expected revisions, else [onFailure]. */
    fun transact(
        expected: List<Pair<String, Long>>,
        onSuccess: List<KeyValueOperation>,
        onFailure: List<KeyValueOperation>,
    ): TransactionAnswer {
        val succeeded = expected.all { (key, expectedRevision) -> revisionOf(key) == expectedRevision }
        val operations = if (succeeded) onSuccess else onFailure
        operations.forEach(::validate)
        val nextRevision = revision + 1
        val answers = operations.map { execute(it, nextRevision) }
        if (changes.lastOrNull()?.revision == nextRevision) revision = nextRevision
        return TransactionAnswer(succeeded, revision, answers)
    }

    fun changesFrom(
        startRevision: Long,
        range: KeyRange,
    ): List<StoredChange> {
        val start = changes.binarySearchBy(startRevision) { it.revision }.let { if (it < 0) -it - 1 else it }
        var first = start
        while (first > 0 && changes[first - 1].revision == startRevision) first--
        return (first until changes.size).map { changes[it] }.filter { range.contains(it.key) }
    }

    fun grantLease(ttlMillis: Long): Long {
        lastLeaseId++
        leases[lastLeaseId] = Lease(ttlMillis, clock() + ttlMillis)
        return lastLeaseId
    }

    /** Renews the lease and returns its time to live in milliseconds, or 0 if it has expired. */
    fun keepAlive(leaseId: Long): Long {
        val lease = leases[leaseId] ?: return 0
        lease.expiresAtMillis = clock() + lease.ttlMillis
        return lease.ttlMillis
    }

    /** Removes a lease and deletes its keys. */
    fun endLease(leaseId: Long) {
        leases.remove(leaseId) ?: return
        val keys = entries.filterValues { it.leaseId == leaseId }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach { removeKey(it, revision) }
    }

    /** Removes expired leases and their keys. True if there were any. */
    fun expireLeases(): Boolean {
        val now = clock()
        val expiredIds = leases.filterValues { it.expiresAtMillis <= now }.keys.toList()
        expiredIds.forEach(::endLease)
        return expiredIds.isNotEmpty()
    }

    private fun validate(operation: KeyValueOperation) {
        if (operation !is KeyValueOperation.Put) return
        val sizeBytes = operation.value.toByteArray().size
        require(
            sizeBytes <= settings.maxValueBytes,
        ) { "value of ${operation.key} must not exceed ${settings.maxValueBytes} bytes, was $sizeBytes" }
        if (operation.leaseId != null && operation.leaseId !in leases) throw UnknownLeaseException(operation.leaseId)
    }

    private fun execute(
        operation: KeyValueOperation,
        nextRevision: Long,
    ): OperationAnswer =
        when (operation) {
            is KeyValueOperation.Put -> {
                entries[operation.key] = Entry(operation.value, nextRevision, operation.leaseId)
                recordChange(StoredChange(nextRevision, operation.key, operation.value))
                OperationAnswer(operation)
            }

            is KeyValueOperation.Delete -> {
                val keys = read(operation.range).map { it.key }
                keys.forEach { removeKey(it, nextRevision) }
                OperationAnswer(operation, deleted = keys.size)
            }

            is KeyValueOperation.Read -> OperationAnswer(operation, found = read(operation.range))
        }

    private fun removeKey(
        key: String,
        atRevision: Long,
    ) {
        entries.remove(key)
        recordChange(StoredChange(atRevision, key, null))
    }

    private fun recordChange(change: StoredChange) {
        changes.addLast(change)
        while (changes.size > settings.maxKeptChanges) firstWatchableRevision = changes.removeFirst().revision + 1
    }
}
