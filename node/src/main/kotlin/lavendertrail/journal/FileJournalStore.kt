package lavendertrail.journal

import lavendertrail.model.PartitionId
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val PARTITION_RADIX = 16
private const val STORE_ID_LENGTH = 36

/**
 * Opens a store that keeps journal copies in files under [folder], one directory per partition. A directory is read on
 * the first use of its partition. The folder is locked until the store is closed.
 *
 * If the host may have lost power since the store was last open, and flushes run at intervals, all copies are treated as
 * incomplete until their owner has appended to them or refilled them.
 */
public fun fileJournalStore(
    folder: Path,
    settings: JournalSettings = JournalSettings(),
): JournalStore = FileJournalStore(folder, settings, DiskFiles, ::hostBootId)

/** Boot id of the host's kernel, which changes with each boot; null if it can't be read. */
private fun hostBootId(): String? =
    try {
        Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).trim()
    } catch (_: IOException) {
        null
    }

internal class FileJournalStore(
    private val folder: Path,
    private val settings: JournalSettings,
    private val files: JournalFiles,
    bootId: () -> String?,
) : JournalStore {
    private class Slot(
        var storage: FileCopyStorage?,
    ) {
        var copy: JournalCopy? = storage?.let(::JournalCopy)
    }

    private val slots = ConcurrentHashMap<PartitionId, Slot>()
    private val openFiles = OpenFiles(files, settings.maxOpenFiles)
    private val lock = lockFolder(folder)
    override val id = storeIdIn(folder, files)
    private val marker = OpenMarker(folder.resolve("open"), files)
    private val flusher = Executors.newSingleThreadScheduledExecutor { Thread(it, "journal-flush").apply { isDaemon = true } }

    init {
        if (marker.mayHaveLostPages(bootId()) && settings.fsync == FsyncPolicy.INTERVAL) markAllIncomplete()
        marker.write(bootId())
        if (settings.fsync == FsyncPolicy.INTERVAL) {
            val millis = settings.fsyncIntervalMillis
            flusher.scheduleWithFixedDelay(::flushAll, millis, millis, TimeUnit.MILLISECONDS)
        }
    }

    val openFileCount: Int get() = openFiles.openCount

    override fun append(request: JournalAppend): JournalAnswer =
        catchIoErrors {
            val copy = copyFor(request.partition)
            when {
                copy != null -> copy.append(request)
                request.create -> request.storeMismatchOrNull(id) ?: getOrCreateCopy(request).append(request)
                else -> JournalAnswer.Unknown
            }
        }

    override fun seal(request: JournalSeal): JournalAnswer =
        catchIoErrors { copyFor(request.partition)?.seal(request) ?: JournalAnswer.Unknown }

    override fun read(request: JournalRead): JournalPage =
        try {
            copyFor(request.partition)?.read(request)?.copy(storeId = id) ?: unknownCopyPage(id)
        } catch (e: IOException) {
            JournalPage(emptyList(), nextIndex = 0, error = "read failed: ${e.message}")
        }

    override fun reclaim(request: JournalReclaim): JournalAnswer =
        catchIoErrors { copyFor(request.partition)?.reclaim(request) ?: JournalAnswer.Unknown }

    override fun copies(): List<JournalCopyStatus> =
        slots.mapNotNull { (partition, slot) -> slot.copy?.status(partition) }.sortedBy { it.partition }

    override fun close() {
        flusher.shutdown()
        flusher.awaitTermination(1, TimeUnit.MINUTES)
        val flushed = slots.map { (partition, slot) -> flushOnClose(partition, slot) }
        openFiles.close()
        if (flushed.all { it }) marker.delete()
        lock.close()
    }

    private fun catchIoErrors(work: () -> JournalAnswer): JournalAnswer =
        try {
            work()
        } catch (e: IOException) {
            JournalAnswer.Failed("journal I/O failed: ${e.message}")
        }

    private fun copyFor(partition: PartitionId): JournalCopy? = slotFor(partition).copy

    private fun slotFor(partition: PartitionId): Slot {
        slots[partition]?.let { return it }
        return synchronized(this) {
            slots[partition] ?: Slot(FileCopyStorage.openOrNull(directoryOf(partition), files, openFiles, settings)).also {
                slots[partition] = it
                it.storage?.damage?.let { damage -> Logger.warn { "journal: copy of partition $partition is $damage" } }
            }
        }
    }

    private fun getOrCreateCopy(request: JournalAppend): JournalCopy {
        val slot = slotFor(request.partition)
        return synchronized(slot) {
            slot.copy ?: run {
                val directory = directoryOf(request.partition)
                val storage = FileCopyStorage.create(directory, files, openFiles, settings, request.initialState())
                slot.storage = storage
                JournalCopy(storage).also { slot.copy = it }
            }
        }
    }

    private fun directoryOf(partition: PartitionId) = folder.resolve(partition.toString())

    private fun partitionsOnDisk(): List<PartitionId> =
        files.list(folder).mapNotNull { name -> name.toIntOrNull(PARTITION_RADIX)?.takeIf { it < PartitionId.COUNT }?.let(::PartitionId) }

    private fun flushAll() {
        for ((partition, slot) in slots) flush(partition, slot)
    }

    private fun flush(
        partition: PartitionId,
        slot: Slot,
    ) {
        val copy = slot.copy ?: return
        val storage = slot.storage ?: return
        val path = copy.locked { storage.takeFileToFlush() } ?: return
        try {
            if (files.exists(path)) openFiles.use(path) { it.force() }
        } catch (_: ClosedChannelException) {
            // The file was deleted in the meantime, or an interrupted thread closed its channel.
            copy.locked { storage.markUnflushed() }
        } catch (e: IOException) {
            Logger.error { "journal: flush of partition $partition failed: ${e.message}" }
            copy.locked { storage.onFlushFailed(e) }
        }
    }

    private fun flushOnClose(
        partition: PartitionId,
        slot: Slot,
    ): Boolean {
        val copy = slot.copy ?: return true
        return try {
            copy.locked { slot.storage?.flush() }
            true
        } catch (e: IOException) {
            Logger.error { "journal: flush of partition $partition on close failed: ${e.message}" }
            false
        }
    }

    private fun markAllIncomplete() {
        Logger.warn { "journal: unclean shutdown of the host; copies are incomplete until their owners append to or refill them" }
        for (partition in partitionsOnDisk()) {
            val directory = directoryOf(partition)
            val state = readStateOrNull(directory, files) ?: continue
            if (state.complete) writeState(directory, files, state.copy(complete = false))
        }
    }
}

private fun lockFolder(folder: Path): FileChannel {
    Files.createDirectories(folder)
    val channel = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)
    val locked =
        try {
            channel.tryLock() != null
        } catch (_: OverlappingFileLockException) {
            false
        }
    if (!locked) {
        channel.close()
        throw IllegalStateException("journal folder $folder is in use by another process")
    }
    return channel
}

/** Reads or creates the id of the store. It is written before the first copy, so an incomplete file belongs to a store without copies. */
private fun storeIdIn(
    folder: Path,
    files: JournalFiles,
): String {
    val path = folder.resolve("store-id")
    files.open(path).use { file ->
        val size = file.size().toInt()
        val known = if (size == 0) null else String(file.readFully(0, size)).takeIf { it.length == STORE_ID_LENGTH }
        if (known != null) return known
        val id = UUID.randomUUID().toString()
        file.truncate(0)
        file.writeFully(ByteBuffer.wrap(id.toByteArray()), 0)
        file.force()
        files.syncDirectory(folder)
        return id
    }
}

/** File that exists while a store is open and holds the boot id, to distinguish a restart of the host from one of the process. */
private class OpenMarker(
    private val path: Path,
    private val files: JournalFiles,
) {
    fun mayHaveLostPages(bootId: String?): Boolean {
        if (!files.exists(path)) return false
        val last = files.open(path).use { String(it.readFully(0, it.size().toInt())) }
        return bootId == null || bootId != last
    }

    fun write(bootId: String?) {
        files.open(path).use { file ->
            file.truncate(0)
            file.writeFully(ByteBuffer.wrap(bootId.orEmpty().toByteArray()), 0)
            file.force()
        }
        files.syncDirectory(path.parent)
    }

    fun delete() {
        files.delete(path)
        files.syncDirectory(path.parent)
    }
}
