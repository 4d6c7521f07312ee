package lavendertrail.standins

import lavendertrail.ports.KeyValue
import java.util.TreeMap

/** A change of one key; [value] is null where the key was deleted. */
internal data class StoredChange(
    val revision: Long,
    val key: String,
    val value: String?,
)

/** Keys from [from] on, before [until]; a null [until] stands for the single key [from], an empty one for no end. */
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

/** Operations of a transaction. */
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

/** The requested lease does not exist or has lapsed. */
internal class UnknownLeaseException(
    leaseId: Long,
) : IllegalArgumentException("requested lease $leaseId not found")

/**
 * Keys, revisions and leases of the key-value stand-in. One revision covers a whole transaction. Leases lapse by
 * [clock], when the store is next used or [expireLeases] is called. Not thread-safe; [KeyValueStandin] locks.
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

    /** Revision of the latest change; a new store starts at 1, as etcd's does. */
    var revision: Long = 1
        private set

    /** The oldest revision that a watch may start at. */
    var firstWatchable: Long = 1
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

    /** Runs [onSuccess] where all keys of [expected] have the given revisions, else [onFailure]. */
    fun transact(
        expected: List<Pair<String, Long>>,
        onSuccess: List<KeyValueOperation>,
        onFailure: List<KeyValueOperation>,
    ): TransactionAnswer {
        val succeeded = expected.all { (key, wanted) -> revisionOf(key) == wanted }
        val operations = if (succeeded) onSuccess else onFailure
        operations.forEach(::check)
        val next = revision + 1
        val answers = operations.map { run(it, next) }
        if (changes.lastOrNull()?.revision == next) revision = next
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

    /** The new time to live; 0 where the lease has lapsed. */
    fun keepAlive(leaseId: Long): Long {
        val lease = leases[leaseId] ?: return 0
        lease.expiresAtMillis = clock() + lease.ttlMillis
        return lease.ttlMillis
    }

    /** Ends a lease and deletes its keys. */
    fun endLease(leaseId: Long) {
        leases.remove(leaseId) ?: return
        val keys = entries.filterValues { it.leaseId == leaseId }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach { remove(it, revision) }
    }

    /** True where a lease has lapsed. */
    fun expireLeases(): Boolean {
        val now = clock()
        val lapsed = leases.filterValues { it.expiresAtMillis <= now }.keys.toList()
        lapsed.forEach(::endLease)
        return lapsed.isNotEmpty()
    }

    private fun check(operation: KeyValueOperation) {
        if (operation !is KeyValueOperation.Put) return
        val sizeBytes = operation.value.toByteArray().size
        require(
            sizeBytes <= settings.maxValueBytes,
        ) { "value of ${operation.key} must not exceed ${settings.maxValueBytes} bytes, was $sizeBytes" }
        if (operation.leaseId != null && operation.leaseId !in leases) throw UnknownLeaseException(operation.leaseId)
    }

    private fun run(
        operation: KeyValueOperation,
        next: Long,
    ): OperationAnswer =
        when (operation) {
            is KeyValueOperation.Put -> {
                entries[operation.key] = Entry(operation.value, next, operation.leaseId)
                record(StoredChange(next, operation.key, operation.value))
                OperationAnswer(operation)
            }

            is KeyValueOperation.Delete -> {
                val keys = read(operation.range).map { it.key }
                keys.forEach { remove(it, next) }
                OperationAnswer(operation, deleted = keys.size)
            }

            is KeyValueOperation.Read -> OperationAnswer(operation, found = read(operation.range))
        }

    private fun remove(
        key: String,
        atRevision: Long,
    ) {
        entries.remove(key)
        record(StoredChange(atRevision, key, null))
    }

    private fun record(change: StoredChange) {
        changes.addLast(change)
        while (changes.size > settings.keptChanges) firstWatchable = changes.removeFirst().revision + 1
    }
}
