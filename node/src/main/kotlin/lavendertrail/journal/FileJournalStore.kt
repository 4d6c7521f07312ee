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
 * Keeps journal copies in files under [folder], which is locked until the store is closed: one directory per
 * partition, which is read when the partition is used first.
 *
 * Where the host lost power since the store was last open, and flushes run at intervals, all copies count as
 * incomplete until their owner has continued or refilled them.
 */
public fun fileJournalStore(
    folder: Path,
    settings: JournalSettings = JournalSettings(),
): JournalStore = FileJournalStore(folder, settings, DiskFiles, ::hostBootId)

/** Changes with each start of the host's kernel; null where the system doesn't tell. */
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
        marker.start(bootId())
        if (settings.fsync == FsyncPolicy.INTERVAL) {
            val millis = settings.fsyncIntervalMillis
            flusher.scheduleWithFixedDelay(::flushAll, millis, millis, TimeUnit.MILLISECONDS)
        }
    }

    val openFileCount: Int get() = openFiles.openCount

    override fun append(request: JournalAppend): JournalAnswer =
        guarded {
            val copy = copyOf(request.partition)
            when {
                copy != null -> copy.append(request)
                request.create -> request.refusedBy(id) ?: copyOrNew(request).append(request)
                else -> JournalAnswer.Unknown
            }
        }

    override fun seal(request: JournalSeal): JournalAnswer = guarded { copyOf(request.partition)?.seal(request) ?: JournalAnswer.Unknown }

    override fun read(request: JournalRead): JournalPage =
        try {
            copyOf(request.partition)?.read(request)?.copy(storeId = id) ?: unknownPage(id)
        } catch (e: IOException) {
            JournalPage(emptyList(), nextIndex = 0, error = "read failed: ${e.message}")
        }

    override fun reclaim(request: JournalReclaim): JournalAnswer =
        guarded { copyOf(request.partition)?.reclaim(request) ?: JournalAnswer.Unknown }

    override fun copies(): List<JournalCopyStatus> =
        slots.mapNotNull { (partition, slot) -> slot.copy?.status(partition) }.sortedBy { it.partition }

    override fun close() {
        flusher.shutdown()
        flusher.awaitTermination(1, TimeUnit.MINUTES)
        val flushed = slots.values.map { slot -> flushOnClose(slot) }
        openFiles.close()
        if (flushed.all { it }) marker.end()
        lock.close()
    }

    private fun guarded(work: () -> JournalAnswer): JournalAnswer =
        try {
            work()
        } catch (e: IOException) {
            JournalAnswer.Failed("journal failed: ${e.message}")
        }

    private fun copyOf(partition: PartitionId): JournalCopy? = slotOf(partition).copy

    private fun slotOf(partition: PartitionId): Slot {
        slots[partition]?.let { return it }
        return synchronized(this) {
            slots[partition] ?: Slot(FileCopyStorage.openOrNull(directoryOf(partition), files, openFiles, settings)).also {
                slots[partition] = it
                it.storage?.damage?.let { damage -> Logger.warn { "journal: copy of partition $partition is $damage" } }
            }
        }
    }

    private fun copyOrNew(request: JournalAppend): JournalCopy {
        val slot = slotOf(request.partition)
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
        val path = copy.locked { storage.takeUnflushed() } ?: return
        try {
            if (files.exists(path)) openFiles.use(path) { it.force() }
        } catch (_: ClosedChannelException) {
            // The file was deleted meanwhile, or an interrupted thread closed it.
            copy.locked { storage.flushAgain() }
        } catch (e: IOException) {
            Logger.error { "journal: flush of partition $partition failed: ${e.message}" }
            copy.locked { storage.flushFailed(e) }
        }
    }

    private fun flushOnClose(slot: Slot): Boolean {
        val copy = slot.copy ?: return true
        return try {
            copy.locked { slot.storage?.flush() }
            true
        } catch (e: IOException) {
            Logger.error { "journal: flush at the end failed: ${e.message}" }
            false
        }
    }

    private fun markAllIncomplete() {
        Logger.warn { "journal: the host was restarted without a clean stop, copies are incomplete until their owners continue them" }
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

/** Written before the first copy; a file that is not whole belongs to a store without copies. */
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

/** Exists while a store is open, with the boot id of the host, so that a loss of power can be told from a mere restart. */
private class OpenMarker(
    private val path: Path,
    private val files: JournalFiles,
) {
    fun mayHaveLostPages(bootId: String?): Boolean {
        if (!files.exists(path)) return false
        val last = files.open(path).use { String(it.readFully(0, it.size().toInt())) }
        return bootId == null || bootId != last
    }

    fun start(bootId: String?) {
        files.open(path).use { file ->
            file.truncate(0)
            file.writeFully(ByteBuffer.wrap(bootId.orEmpty().toByteArray()), 0)
            file.force()
        }
        files.syncDirectory(path.parent)
    }

    fun end() {
        files.delete(path)
        files.syncDirectory(path.parent)
    }
}
