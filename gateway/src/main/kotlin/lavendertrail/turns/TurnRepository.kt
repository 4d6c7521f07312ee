package lavendertrail.turns

import kotlinx.serialization.ExperimentalSerializationApi
import lavendertrail.serving.TOKEN_USE_RENEWAL_MILLIS
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE
import java.util.PriorityQueue
import java.util.TreeMap
import java.util.concurrent.Executor

/**
 * Stores turns and budget use on a turn host's disk and holds all unexpired records in memory. All calls run on the single
 * thread of [executor]; a reply that promises durability is sent after the sync of the disk.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class TurnRepository(
    private val folder: Path,
    private val executor: Executor,
    private val nowEpochMillis: () -> Long,
    onDiskFailure: (String) -> Unit,
    private val onUnreadable: (UnreadablePart) -> Unit = {},
) : AutoCloseable {
    private val turnLog = TurnLog(folder.resolve("log"), nowEpochMillis, onDiskFailure, ::noteUnreadable)
    private val turns = HashMap<String, TurnRecord>()
    private val uses = HashMap<String, HashMap<String, UseRecord>>()
    private val origins = HashMap<String, OriginRecord>()
    private val unfinishedTurns = StreamTurns()

    /** Those of [turns] whose streams callers may resume. */
    private val finishedStreams = StreamTurns()
    private val recentServers = HashMap<String, RecentServers>()

    /** All records by position in the order of arrival, for copying to other hosts. */
    private val arrivals = TreeMap<Long, StoredRecord>()
    private var nextPosition = 0L

    /** Positions of the records in the order of expiry, since a record may expire before those that arrived earlier. */
    private val expiries = PriorityQueue(compareBy(Expiry::atEpochMillis))

    private class Expiry(
        val position: Long,
        val atEpochMillis: Long,
    )

    /** Identifies this run of the process, since record positions are not preserved over a restart. */
    private val epoch = nowEpochMillis()

    /** False on a new disk until the records of the other hosts have been copied. */
    var isComplete = false
        private set

    private var isSealed = false

    /** Whether records may be missing that were acknowledged; true until the other hosts have been copied. */
    var isDamaged = false
        private set

    val turnCount: Int get() = turns.size
    val programCount: Int get() = uses.size

    fun open() {
        turnLog.open { payload ->
            val record = decodeRecord(payload)
            if (record != null && !isExpired(record)) addToMemory(record)
            record?.expiresAtEpochMillis
        }
        isComplete = !isDamaged && hasCompleteMarker()
    }

    private fun hasCompleteMarker() = Files.exists(folder.resolve(COMPLETE_MARKER))

    private fun noteUnreadable(part: UnreadablePart) {
        if (!part.isEndOfNewest || part.undecodedRecords > 0) isDamaged = true
        onUnreadable(part)
    }

    /** Marks the disk, durably, as having all records that it should have. */
    fun markComplete() {
        Files.createDirectories(folder)
        FileChannel.open(folder.resolve(COMPLETE_MARKER), CREATE, WRITE).use { it.force(true) }
        isDamaged = false
        isComplete = true
    }

    /** Refuses writes by entry hosts from now on, so that the records offered to other hosts remain all records of this host. */
    fun seal() {
        isSealed = true
        isComplete = false
    }

    /** Accepts writes again after [seal]. */
    fun unseal() {
        isSealed = false
        isComplete = !isDamaged && hasCompleteMarker()
    }

    fun storeTurn(
        turn: TurnRecord,
        onReply: (KeepReply) -> Unit,
    ) {
        if (isSealed) return onReply(KeepReply(isKept = false))
        val record = StoredRecord(turn = turn)
        if (isNew(record)) addToMemory(record)
        appendToLog(record) { onReply(KeepReply(it)) }
    }

    fun readChain(request: ChainRequest): ChainReply {
        val turnsFound = mutableListOf<TurnRecord>()
        var next: String? = request.turnId
        while (next != null) {
            val turn = turns[next] ?: break
            turnsFound += turn
            next = turn.previousId
        }
        return ChainReply(turnsFound, isComplete)
    }

    fun storeUses(
        request: UseRequest,
        onReply: (UseReply) -> Unit,
    ) {
        val reservation = request.reservation
        val records = (request.settlements + listOfNotNull(reservation)).map { StoredRecord(use = it) }
        if (isSealed || records.isEmpty()) return onReply(UseReply(isKept = false, uses = ByteArray(0), isComplete = false))
        records.forEach(::addToMemory)
        val packed = if (reservation == null) ByteArray(0) else packUses(uses[reservation.programId].orEmpty().values)
        val wasComplete = isComplete
        val recentServerId = reservation?.let { recentServers[it.programId]?.forSession(it.sessionId) }
        val expiringUses = reservation?.let(::usesExpiringBefore).orEmpty()
        appendAllToLog(records) { areStored -> onReply(UseReply(areStored, packed, wasComplete, recentServerId, expiringUses)) }
    }

    private fun usesExpiringBefore(reservation: UseRecord): List<UseRecord> =
        uses[reservation.programId].orEmpty().values.filter {
            it.expiresAtEpochMillis < reservation.expiresAtEpochMillis - TOKEN_USE_RENEWAL_MILLIS
        }

    fun storeOrigin(
        origin: OriginRecord,
        onReply: (KeepReply) -> Unit,
    ) {
        if (isSealed) return onReply(KeepReply(isKept = false))
        val record = StoredRecord(origin = origin)
        addToMemory(record)
        appendToLog(record) { onReply(KeepReply(it)) }
    }

    fun findOrigin(request: OriginRequest): OriginReply = OriginReply(origins[request.attemptId]?.origin, isComplete)

    /** Stores a turn that has broken off, for its caller to resume it. */
    fun storeUnfinishedTurn(
        turn: TurnRecord,
        onReply: (KeepReply) -> Unit,
    ) {
        if (isSealed) return onReply(KeepReply(isKept = false))
        val record = StoredRecord(unfinishedTurn = turn)
        addToMemory(record)
        appendToLog(record) { onReply(KeepReply(it)) }
    }

    fun findStreamTurns(request: StreamTurnsRequest): StreamTurnsReply {
        val known = listOf(unfinishedTurns, finishedStreams).flatMap { it.upTo(request.streamId, request.lastEventId) }
        return StreamTurnsReply(known.withoutRepeats(), isComplete)
    }

    fun readCopyPage(request: CopyRequest): CopyPage {
        val page = recordsAfter(request.after, MAX_PAGE_RECORDS)
        return CopyPage(
            epoch = epoch,
            turnIds = page.records.mapNotNull { it.turn?.id },
            turnExpiriesEpochMillis = page.records.mapNotNull { it.turn?.expiresAtEpochMillis },
            uses = page.records.mapNotNull { it.use },
            origins = page.records.mapNotNull { it.origin },
            unfinishedTurns = page.records.mapNotNull { it.unfinishedTurn },
            next = page.nextPosition,
            isLast = page.isLast,
        )
    }

    /** Returns records from position [fromPosition] on in the order of arrival, about [MAX_PAGE_BYTES] at most. */
    fun recordsAfter(
        fromPosition: Long,
        limit: Int = Int.MAX_VALUE,
    ): RecordPage {
        val records = mutableListOf<StoredRecord>()
        var sizeBytes = 0
        for ((position, record) in arrivals.tailMap(fromPosition)) {
            if (records.size >= limit || sizeBytes >= MAX_PAGE_BYTES) return RecordPage(records, position, isLast = false)
            records += record
            sizeBytes += record.sizeBytes
        }
        return RecordPage(records, nextPosition, isLast = true)
    }

    class RecordPage(
        val records: List<StoredRecord>,
        val nextPosition: Long,
        val isLast: Boolean,
    )

    fun fetchTurns(request: FetchRequest): FetchReply {
        val turnsFound = mutableListOf<TurnRecord>()
        var sizeBytes = 0
        var handled = 0
        for (id in request.turnIds) {
            if (sizeBytes >= MAX_PAGE_BYTES) break
            handled++
            val turn = turns[id] ?: continue
            turnsFound += turn
            sizeBytes += turn.sizeBytes
        }
        return FetchReply(turnsFound, handled)
    }

    /** Returns the ids of [page]'s turns that are not stored here for as long as at the other host. */
    fun findMissingTurns(page: CopyPage): List<String> =
        page.turnIds.filterIndexed { index, id -> !hasTurn(id, page.turnExpiriesEpochMillis.getOrElse(index) { 0 }) }

    /** Returns the records of [request] that are not stored here. */
    fun findMissing(request: MissingRequest): MissingReply =
        MissingReply(
            request.keys
                .withIndex()
                .filter { (_, key) -> !has(key) }
                .map { it.index },
        )

    private fun has(key: RecordKey): Boolean {
        if (key.turnId != null) return hasTurn(key.turnId, key.expiresAtEpochMillis)
        if (key.streamId != null) {
            return unfinishedTurns.has(key.streamId, key.attemptId.orEmpty(), key.eventCount, key.expiresAtEpochMillis)
        }
        val programId = key.programId ?: return hasOrigin(key.attemptId.orEmpty(), key.expiresAtEpochMillis)
        val use = uses[programId]?.get(key.attemptId) ?: return false
        return (use.isSettled || !key.isSettled) && use.expiresAtEpochMillis >= key.expiresAtEpochMillis
    }

    /** Whether the turn [id] is kept here at least until [expiresAtEpochMillis]. */
    private fun hasTurn(
        id: String,
        expiresAtEpochMillis: Long,
    ): Boolean = turns[id]?.let { it.expiresAtEpochMillis >= expiresAtEpochMillis } ?: false

    /** Whether the origin of the stream that [attemptId] began is kept here at least until [expiresAtEpochMillis]. */
    private fun hasOrigin(
        attemptId: String,
        expiresAtEpochMillis: Long,
    ): Boolean = origins[attemptId]?.let { it.expiresAtEpochMillis >= expiresAtEpochMillis } ?: false

    /** Returns all unexpired records, without those that later ones have replaced. */
    fun currentRecords(): List<StoredRecord> =
        (
            turns.values.map { StoredRecord(turn = it) } +
                uses.values.flatMap { it.values }.map { StoredRecord(use = it) } +
                origins.values.map { StoredRecord(origin = it) } +
                unfinishedTurns.all().map { StoredRecord(unfinishedTurn = it) }
        ).filterNot(::isExpired)

    /** Stores records of another host that are not stored here yet, and reports whether all of them are on disk. */
    fun importRecords(
        records: List<StoredRecord>,
        onDone: (Boolean) -> Unit,
    ) {
        val newRecords = records.filter { !isExpired(it) && isNew(it) }
        if (newRecords.isEmpty()) return onDone(true)
        newRecords.forEach(::addToMemory)
        appendAllToLog(newRecords, onDone)
    }

    /** Removes expired records from memory. */
    fun removeExpired() {
        while (expiries.isNotEmpty() && isExpired(expiries.peek().atEpochMillis)) {
            val record = arrivals.remove(expiries.poll().position) ?: continue
            record.turn?.let { removeTurn(it) }
            record.use?.let { removeUse(it) }
            record.origin?.let { removeOrigin(it) }
            record.unfinishedTurn?.let { unfinishedTurns.remove(it) }
        }
    }

    private fun removeTurn(turn: TurnRecord) {
        val current = turns[turn.id] ?: return
        // Another record may keep the turn for longer.
        if (current.expiresAtEpochMillis <= turn.expiresAtEpochMillis) turns.remove(turn.id)
        finishedStreams.remove(turn)
    }

    private fun removeUse(use: UseRecord) {
        val entries = uses[use.programId] ?: return
        val current = entries[use.attemptId] ?: return
        // Another record of the same attempt may keep the use for longer.
        if (current.expiresAtEpochMillis > use.expiresAtEpochMillis) return
        entries.remove(use.attemptId)
        if (entries.isEmpty()) {
            uses.remove(use.programId)
            recentServers.remove(use.programId)
        }
    }

    private fun removeOrigin(origin: OriginRecord) {
        val current = origins[origin.attemptId] ?: return
        // The origin may have been stored again.
        if (current.expiresAtEpochMillis <= origin.expiresAtEpochMillis) origins.remove(origin.attemptId)
    }

    private fun isNew(record: StoredRecord): Boolean {
        record.turn?.let { return !hasTurn(it.id, it.expiresAtEpochMillis) }
        record.origin?.let { return !hasOrigin(it.attemptId, it.expiresAtEpochMillis) }
        record.unfinishedTurn?.let { return !has(record.key) }
        val use = record.use ?: return false
        val existing = uses[use.programId]?.get(use.attemptId) ?: return true
        return mergeUses(existing, use) != existing
    }

    private fun addToMemory(record: StoredRecord) {
        expiries += Expiry(nextPosition, record.expiresAtEpochMillis)
        arrivals[nextPosition++] = record
        record.turn?.let {
            if (!hasTurn(it.id, it.expiresAtEpochMillis)) turns[it.id] = it
            finishedStreams.add(it)
        }
        record.unfinishedTurn?.let(unfinishedTurns::add)
        record.origin?.let { if (!hasOrigin(it.attemptId, it.expiresAtEpochMillis)) origins[it.attemptId] = it }
        record.use?.let { use ->
            uses.getOrPut(use.programId) { HashMap() }.merge(use.attemptId, use, ::mergeUses)
            val serverId = use.serverId
            if (serverId != null) recentServers.getOrPut(use.programId) { RecentServers() }.add(use.sessionId.orEmpty(), serverId)
        }
    }

    /** Reports whether all of [records], at least one, are on disk. */
    private fun appendAllToLog(
        records: List<StoredRecord>,
        onStored: (Boolean) -> Unit,
    ) {
        var remaining = records.size
        var allStored = true
        for (record in records) {
            appendToLog(record) { isStored ->
                allStored = allStored && isStored
                if (--remaining == 0) onStored(allStored)
            }
        }
    }

    private fun appendToLog(
        record: StoredRecord,
        onStored: (Boolean) -> Unit,
    ) {
        val payload = turnCbor.encodeToByteArray(StoredRecord.serializer(), record)
        turnLog.append(payload, record.expiresAtEpochMillis) { isDurable -> executor.execute { onStored(isDurable) } }
    }

    private fun isExpired(record: StoredRecord) = isExpired(record.expiresAtEpochMillis)

    private fun isExpired(expiresAtEpochMillis: Long) = expiresAtEpochMillis + EXPIRY_MARGIN_MILLIS < nowEpochMillis()

    override fun close(): Unit = turnLog.close()

    private companion object {
        const val COMPLETE_MARKER = "complete"
        const val MAX_PAGE_BYTES = 500_000
        const val MAX_PAGE_RECORDS = 5_000

        /** Tolerates clock skew between hosts and clock adjustments. */
        const val EXPIRY_MARGIN_MILLIS = 30_000L
    }
}

/** The use that counts, kept for the longer of the two times. */
internal fun mergeUses(
    existing: UseRecord,
    other: UseRecord,
): UseRecord {
    val counted = if (existing.tokenUse.merge(other.tokenUse) == existing.tokenUse) existing else other
    return counted.copy(expiresAtEpochMillis = maxOf(existing.expiresAtEpochMillis, other.expiresAtEpochMillis))
}

/** The record that [payload] encodes; null if it has an unknown form. */
@OptIn(ExperimentalSerializationApi::class)
internal fun decodeRecord(payload: ByteArray): StoredRecord? =
    try {
        turnCbor.decodeFromByteArray(StoredRecord.serializer(), payload)
    } catch (_: IllegalArgumentException) {
        null
    }
