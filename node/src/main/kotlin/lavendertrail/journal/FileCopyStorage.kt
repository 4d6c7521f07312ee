package lavendertrail.journal

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.file.Path

/**
 * Stores one copy in a directory: two state files, and segments named after the index of their first entry.
 *
 * The order of file operations ensures that [openOrNull] accepts the copy after a crash at any point: a segment is
 * flushed before the next one is created, truncation deletes segments from the last one backwards, and a reset first
 * records that the copy is incomplete. An incomplete frame at the end of the last file is removed, because its append
 * was never answered. Any other bytes that are not a whole frame are damage: accepted entries may follow them.
 */
internal class FileCopyStorage private constructor(
    private val directory: Path,
    private val files: JournalFiles,
    private val openFiles: OpenFiles,
    private val settings: JournalSettings,
    initial: CopyState,
) : CopyStorage {
    private val segments = mutableListOf<Segment>()
    private var hasPartialTail = false
    private var hasUnflushedData = false
    override var state = initial
        private set
    override var damage: CopyDamage? = null
        private set
    override val firstIndex get() = segments.firstOrNull()?.base ?: state.startIndex
    override val nextIndex get() = damage?.fromIndex ?: segments.lastOrNull()?.nextIndex ?: state.startIndex
    override var lastEpoch = 0L
        private set

    override fun read(
        fromIndex: Long,
        maxBytes: Int,
    ): List<JournalEntry> {
        val entries = mutableListOf<JournalEntry>()
        var bytes = 0
        for (segment in segments.filter { it.nextIndex > fromIndex }) {
            val found =
                openFiles.use(segment.path) { file ->
                    segment.read(file, maxOf(fromIndex, segment.base)) { entry, entryBytes ->
                        if (entry.index < nextIndex && (bytes == 0 || bytes < maxBytes)) entries += entry else return@read false
                        bytes += entryBytes
                        bytes < maxBytes
                    }
                }
            if (found != null) markDamaged(found)
            if (found != null || bytes >= maxBytes) break
        }
        return entries
    }

    override fun write(entries: List<JournalEntry>) {
        truncatePartialTail()
        val batch = mutableListOf<Pair<JournalEntry, ByteArray>>()
        var batchBytes = 0L
        for (entry in entries) {
            val frame = frame(encodeEntry(entry))
            val used = (segments.lastOrNull()?.sizeBytes ?: 0) + batchBytes
            if (used > 0 && used + frame.size > settings.segmentBytes) {
                writeBatch(batch)
                batch.clear()
                batchBytes = 0
                addSegment(nextIndex)
            }
            batch += entry to frame
            batchBytes += frame.size
        }
        writeBatch(batch)
        if (settings.fsync == FsyncPolicy.ALWAYS) flush()
    }

    override fun truncate(to: Long) {
        while (segments.size > 1 && segments.last().base >= to) deleteSegment(segments.last())
        val segment = segments.last()
        openFiles.use(segment.path) { file ->
            segment.truncateTo(file, to)
            file.truncate(segment.sizeBytes)
            file.force()
        }
        damage = null
        hasPartialTail = false
        readLastEpoch()
    }

    override fun reset(at: Long) {
        saveState(state.copy(complete = false, startIndex = at))
        segments.toList().asReversed().forEach(::deleteSegment)
        files.syncDirectory(directory)
        damage = null
        hasPartialTail = false
        hasUnflushedData = false
        lastEpoch = 0
    }

    override fun saveState(state: CopyState) {
        this.state = writeState(directory, files, state)
    }

    override fun flush() {
        val segment = segments.lastOrNull() ?: return
        try {
            openFiles.use(segment.path) { it.force() }
            hasUnflushedData = false
        } catch (e: IOException) {
            if (e !is ClosedChannelException) onFlushFailed(e)
            throw e
        }
    }

    /** Returns the file that needs a flush since the last call, if any. The caller flushes it without blocking requests. */
    fun takeFileToFlush(): Path? = if (hasUnflushedData) segments.lastOrNull()?.path.also { hasUnflushedData = false } else null

    fun markUnflushed() {
        hasUnflushedData = true
    }

    /**
     * Marks the last segment as damaged. After a failed flush its pages may be lost on disk although reads still find them
     * in memory.
     */
    fun onFlushFailed(cause: IOException) {
        val segment = segments.lastOrNull() ?: return
        markDamaged(CopyDamage(segment.base, "flush failed: ${cause.message}"))
    }

    override fun reclaim(beforeIndex: Long) {
        // Keeps the last segment with entries, because recovery compares copies by the epoch of their last entry.
        while (segments.size > 1 && segments[0].nextIndex <= beforeIndex && segments.last().nextIndex > segments[0].nextIndex) {
            deleteSegment(segments[0])
        }
        files.syncDirectory(directory)
    }

    private fun writeBatch(batch: List<Pair<JournalEntry, ByteArray>>) {
        if (batch.isEmpty()) return
        if (segments.isEmpty()) addSegment(nextIndex)
        val segment = segments.last()
        val bytes = ByteBuffer.allocate(batch.sumOf { it.second.size })
        batch.forEach { bytes.put(it.second) }
        hasPartialTail = true
        hasUnflushedData = true
        try {
            openFiles.use(segment.path) { it.writeFully(bytes.flip(), segment.sizeBytes) }
        } catch (e: IOException) {
            truncateTailAfterFailure(e)
            throw e
        }
        hasPartialTail = false
        batch.forEach { (entry, frame) -> segment.addFrame(frame.size.toLong(), entry.epoch) }
        lastEpoch = batch.last().first.epoch
    }

    private fun truncateTailAfterFailure(cause: IOException) {
        try {
            truncatePartialTail()
        } catch (e: IOException) {
            cause.addSuppressed(e)
        }
    }

    /** Removes the bytes that a failed write left after the last whole frame. */
    private fun truncatePartialTail() {
        if (!hasPartialTail) return
        val segment = segments.last()
        openFiles.use(segment.path) { it.truncate(segment.sizeBytes) }
        hasPartialTail = false
    }

    private fun addSegment(base: Long) {
        if (segments.isNotEmpty()) flush()
        val segment = Segment(directory.resolve(segmentName(base)), base)
        openFiles.use(segment.path) { it.truncate(0) }
        files.syncDirectory(directory)
        segments += segment
    }

    private fun deleteSegment(segment: Segment) {
        openFiles.closeHandle(segment.path)
        files.delete(segment.path)
        segments -= segment
    }

    private fun markDamaged(found: CopyDamage) {
        val known = damage
        if (known == null || found.fromIndex < known.fromIndex) damage = found
        if (state.complete) {
            try {
                saveState(state.copy(complete = false))
            } catch (_: IOException) {
                state = state.copy(complete = false)
            }
        }
    }

    private fun loadSegments() {
        val bases = files.list(directory).mapNotNull(::segmentBaseOrNull)
        for ((base, next) in bases.zip(bases.drop(1) + null)) {
            val segment = Segment(directory.resolve(segmentName(base)), base)
            if (next != null) segment.assumeFilledTo(next) else openFiles.use(segment.path) { loadLastSegment(segment, it) }
            segments += segment
        }
        readLastEpoch()
    }

    private fun loadLastSegment(
        segment: Segment,
        file: JournalFile,
    ) {
        val tail = segment.scan(file)
        if (tail.torn) file.truncate(segment.sizeBytes)
        if (tail.corrupt != null) markDamaged(CopyDamage(segment.nextIndex, tail.corrupt))
    }

    private fun readLastEpoch() {
        val last = segments.lastOrNull { it.nextIndex > it.base }
        if (last != null) openFiles.use(last.path) { file -> last.scanIfNeeded(file) }?.let(::markDamaged)
        lastEpoch = last?.lastEpoch ?: 0
    }

    companion object {
        /** Opens the copy in [directory]. Returns null if there is none or its state can't be read. */
        fun openOrNull(
            directory: Path,
            files: JournalFiles,
            openFiles: OpenFiles,
            settings: JournalSettings,
        ): FileCopyStorage? {
            val state = readStateOrNull(directory, files) ?: return null
            return FileCopyStorage(directory, files, openFiles, settings, state).apply { loadSegments() }
        }

        /** Creates an empty copy in [directory] and deletes any files in it. */
        fun create(
            directory: Path,
            files: JournalFiles,
            openFiles: OpenFiles,
            settings: JournalSettings,
            state: CopyState,
        ): FileCopyStorage {
            files.createDirectories(directory)
            files.list(directory).map(directory::resolve).forEach {
                openFiles.closeHandle(it)
                files.delete(it)
            }
            files.syncDirectory(directory.parent)
            val written = writeState(directory, files, state)
            files.syncDirectory(directory)
            return FileCopyStorage(directory, files, openFiles, settings, written)
        }
    }
}
