package lavendertrail.turns

import kotlinx.serialization.ExperimentalSerializationApi
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE
import java.util.concurrent.Executor

/**
 * Turns and budget use on one host's disk, with all that has not expired in memory. All calls run on [executor]'s one
 * thread; an answer that promises durability is given after the disk's sync.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class TurnKeeper(
    private val folder: Path,
    private val executor: Executor,
    private val nowEpochMillis: () -> Long,
    onFailure: (String) -> Unit,
) : AutoCloseable {
    private val log = TurnLog(folder.resolve("log"), nowEpochMillis, onFailure)
    private val turns = HashMap<String, TurnRecord>()
    private val uses = HashMap<String, HashMap<String, UseRecord>>()
    private val recentServers = HashMap<String, RecentServers>()

    /** Everything kept, in the order of arrival, for copies to other hosts. */
    private val order = ArrayDeque<StoredRecord>()
    private var firstPosition = 0L

    /** Positions hold for one start of the process only. */
    private val epoch = nowEpochMillis()

    /** False while the disk is new and the other hosts' records have not been copied. */
    var isComplete = false
        private set

    private var isSealed = false

    val turnCount: Int get() = turns.size
    val programCount: Int get() = uses.size

    fun open() {
        log.open { payload ->
            val record = turnCbor.decodeFromByteArray(StoredRecord.serializer(), payload)
            if (!isExpired(record)) remember(record)
            record.expiresAtEpochMillis
        }
        isComplete = Files.exists(folder.resolve(COMPLETE_MARK))
    }

    /** Records on the disk that it holds all that it should. */
    fun markComplete() {
        Files.createDirectories(folder)
        FileChannel.open(folder.resolve(COMPLETE_MARK), CREATE, WRITE).use { it.force(true) }
        isComplete = true
    }

    /** Refuses everything from now on, so that what has been offered to other hosts is all that this host ever kept. */
    fun seal() {
        isSealed = true
        isComplete = false
    }

    fun keep(
        turn: TurnRecord,
        onReply: (KeepReply) -> Unit,
    ) {
        if (isSealed) return onReply(KeepReply(isKept = false))
        if (turn.id in turns) return store(StoredRecord(turn = turn)) { onReply(KeepReply(it)) }
        val record = StoredRecord(turn = turn)
        remember(record)
        store(record) { onReply(KeepReply(it)) }
    }

    fun chain(request: ChainRequest): ChainReply {
        val found = mutableListOf<TurnRecord>()
        var next: String? = request.turnId
        while (next != null) {
            val turn = turns[next] ?: break
            found += turn
            next = turn.previousId
        }
        return ChainReply(found, isComplete)
    }

    fun use(
        use: UseRecord,
        onReply: (UseReply) -> Unit,
    ) {
        if (isSealed) return onReply(UseReply(isKept = false, uses = ByteArray(0), isComplete = false))
        val record = StoredRecord(use = use)
        remember(record)
        val packed = if (use.isSettled) ByteArray(0) else packUses(uses[use.programId].orEmpty().values)
        val complete = isComplete
        val recentServerId = recentServers[use.programId]?.of(use.sessionId)
        store(record) { kept -> onReply(UseReply(kept, packed, complete, recentServerId)) }
    }

    fun copy(request: CopyRequest): CopyPage {
        val page = recordsAfter(request.after, MAX_PAGE_RECORDS)
        return CopyPage(
            epoch = epoch,
            turnIds = page.records.mapNotNull { it.turn?.id },
            uses = page.records.mapNotNull { it.use },
            next = page.next,
            isLast = page.isLast,
        )
    }

    /** Records in the order of arrival from position [after] on, up to [MAX_PAGE_BYTES]. */
    fun recordsAfter(
        after: Long,
        limit: Int = Int.MAX_VALUE,
    ): RecordPage {
        val records = mutableListOf<StoredRecord>()
        var sizeBytes = 0
        var position = maxOf(after, firstPosition)
        while (position - firstPosition < order.size && records.size < limit && sizeBytes < MAX_PAGE_BYTES) {
            val record = order[(position - firstPosition).toInt()]
            records += record
            sizeBytes += USE_BYTES + (record.turn?.sizeBytes ?: 0)
            position++
        }
        return RecordPage(records, position, isLast = position - firstPosition >= order.size)
    }

    class RecordPage(
        val records: List<StoredRecord>,
        val next: Long,
        val isLast: Boolean,
    )

    fun fetch(request: FetchRequest): FetchReply {
        val found = mutableListOf<TurnRecord>()
        var sizeBytes = 0
        var handled = 0
        for (id in request.turnIds) {
            if (sizeBytes >= MAX_PAGE_BYTES) break
            handled++
            val turn = turns[id] ?: continue
            found += turn
            sizeBytes += turn.sizeBytes
        }
        return FetchReply(found, handled)
    }

    /** Those of [turnIds] that are not kept here. */
    fun missing(turnIds: List<String>): List<String> = turnIds.filter { it !in turns }

    /** Keeps records of another host that are not known here yet, and reports when they are on disk. */
    fun adopt(
        records: List<StoredRecord>,
        onDone: (Boolean) -> Unit,
    ) {
        val new = records.filter { !isExpired(it) && isNews(it) }
        if (new.isEmpty()) return onDone(true)
        var left = new.size
        var allKept = true
        for (record in new) {
            remember(record)
            store(record) { kept ->
                allKept = allKept && kept
                if (--left == 0) onDone(allKept)
            }
        }
    }

    /** Forgets what has expired. */
    fun sweep() {
        while (order.isNotEmpty() && isExpired(order.first())) {
            val record = order.removeFirst()
            firstPosition++
            record.turn?.let { turns.remove(it.id) }
            record.use?.let { forget(it) }
        }
    }

    private fun forget(use: UseRecord) {
        val entries = uses[use.programId] ?: return
        val current = entries[use.attemptId] ?: return
        // A newer record of the same attempt expires later and stands further down.
        if (current.expiresAtEpochMillis > use.expiresAtEpochMillis) return
        entries.remove(use.attemptId)
        if (entries.isEmpty()) {
            uses.remove(use.programId)
            recentServers.remove(use.programId)
        }
    }

    private fun isNews(record: StoredRecord): Boolean {
        record.turn?.let { return it.id !in turns }
        val use = record.use ?: return false
        val known = uses[use.programId]?.get(use.attemptId) ?: return true
        return merged(known, use) != known
    }

    private fun remember(record: StoredRecord) {
        order.addLast(record)
        record.turn?.let { turns[it.id] = it }
        record.use?.let { use ->
            uses.getOrPut(use.programId) { HashMap() }.merge(use.attemptId, use, ::merged)
            val serverId = use.serverId
            if (serverId != null) recentServers.getOrPut(use.programId) { RecentServers() }.add(use.sessionId.orEmpty(), serverId)
        }
    }

    private fun store(
        record: StoredRecord,
        onKept: (Boolean) -> Unit,
    ) {
        val payload = turnCbor.encodeToByteArray(StoredRecord.serializer(), record)
        log.append(payload, record.expiresAtEpochMillis) { durable -> executor.execute { onKept(durable) } }
    }

    private fun isExpired(record: StoredRecord) = record.expiresAtEpochMillis + EXPIRY_MARGIN_MILLIS < nowEpochMillis()

    override fun close(): Unit = log.close()

    private companion object {
        const val COMPLETE_MARK = "complete"
        const val MAX_PAGE_BYTES = 500_000
        const val MAX_PAGE_RECORDS = 5_000
        const val USE_BYTES = 100

        /** Covers clocks that differ between hosts or are set. */
        const val EXPIRY_MARGIN_MILLIS = 30_000L
    }
}

private fun merged(
    known: UseRecord,
    other: UseRecord,
): UseRecord = if (known.use.merge(other.use) == known.use) known else other
