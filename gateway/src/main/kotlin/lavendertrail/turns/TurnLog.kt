package lavendertrail.turns

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.zip.CRC32C
import kotlin.concurrent.thread

/**
 * An append-only log of framed records in the files of one folder. Records that arrive during a sync share the next sync (group
 * commit), so a slow disk affects latency rather than throughput.
 *
 * A loss of power may leave the last writes missing or torn, so each start cuts the newest file behind its last intact record and
 * goes on with a new file. What can't be read in an older file may have been acknowledged. A file is deleted once all of its records
 * have expired.
 */
internal class TurnLog(
    private val folder: Path,
    private val nowEpochMillis: () -> Long,
    private val onFailure: (String) -> Unit,
    private val onUnreadable: (UnreadablePart) -> Unit = {},
) : AutoCloseable {
    private val queue = ArrayBlockingQueue<PendingRecord>(MAX_QUEUED_RECORDS)
    private val files = mutableListOf<LogFile>()
    private var nextFileNumber = 1L

    @Volatile
    private var isClosed = false
    private lateinit var writer: Thread

    private class PendingRecord(
        val frame: ByteBuffer,
        val expiresAtEpochMillis: Long,
        val onDurable: (Boolean) -> Unit,
    )

    private class LogFile(
        val path: Path,
        var expiresAtEpochMillis: Long,
        var sizeBytes: Long = 0,
        /** The end of what the last sync of this process covers. */
        var syncedBytes: Int = 0,
    )

    /**
     * Passes the payload of each intact frame to [onRecord], which returns its expiry time, or null if it can't decode it. Starts the
     * writer thread.
     */
    fun open(onRecord: (ByteArray) -> Long?) {
        Files.createDirectories(folder)
        val paths =
            Files
                .list(folder)
                .use { list -> list.toList() }
                .mapNotNull { path -> numberOf(path)?.let { it to path } }
                .toMap()
        val newestNumber = paths.keys.maxOrNull() ?: 0
        for ((number, path) in paths.toSortedMap()) files += readFile(path, isNewest = number == newestNumber, onRecord)
        nextFileNumber = newestNumber + 1
        writer = thread(name = "turn-log", isDaemon = true) { runWriter() }
    }

    private fun numberOf(path: Path): Long? {
        val name = path.fileName.toString()
        return if (name.endsWith(SUFFIX)) name.removeSuffix(SUFFIX).toLongOrNull() else null
    }

    private fun readFile(
        path: Path,
        isNewest: Boolean,
        onRecord: (ByteArray) -> Long?,
    ): LogFile {
        val file = LogFile(path, 0)
        try {
            val bytes = Files.readAllBytes(path)
            file.sizeBytes = bytes.size.toLong()
            val frames =
                readFrames(ByteBuffer.wrap(bytes)) { payload ->
                    val expiresAtEpochMillis = onRecord(payload)
                    if (expiresAtEpochMillis != null) file.expiresAtEpochMillis = maxOf(file.expiresAtEpochMillis, expiresAtEpochMillis)
                    expiresAtEpochMillis != null
                }
            if (frames.unreadBytes == 0) return file
            onUnreadable(UnreadablePart(path.fileName.toString(), frames.unreadBytes, frames.undecodedCount, isNewest))
            // Otherwise the next start would find the torn end in a file that isn't the newest any more.
            if (isNewest) cut(file, frames.lastIntactEnd)
        } catch (e: IOException) {
            onFailure("reading ${path.fileName} failed: $e")
            onUnreadable(UnreadablePart(path.fileName.toString(), file.sizeBytes.toInt(), 0, isEndOfNewest = false))
        }
        return file
    }

    private fun cut(
        file: LogFile,
        sizeBytes: Int,
    ) {
        try {
            FileChannel.open(file.path, WRITE).use { channel ->
                channel.truncate(sizeBytes.toLong())
                channel.force(true)
            }
            file.sizeBytes = sizeBytes.toLong()
        } catch (e: IOException) {
            onFailure("cutting ${file.path.fileName} failed: $e")
        }
    }

    /** Calls [onDurable] with true once the record is on disk, or with false if it couldn't be written. */
    fun append(
        payload: ByteArray,
        expiresAtEpochMillis: Long,
        onDurable: (Boolean) -> Unit,
    ) {
        if (!queue.offer(PendingRecord(encodeFrame(payload), expiresAtEpochMillis, onDurable))) onDurable(false)
    }

    private fun runWriter() {
        var channel: FileChannel? = null
        while (!isClosed) {
            val first = queue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) ?: continue
            val batch = mutableListOf(first)
            queue.drainTo(batch, MAX_BATCH_RECORDS)
            try {
                if (channel == null || files.last().sizeBytes > MAX_FILE_BYTES) {
                    channel?.close()
                    channel = createFile()
                    deleteExpired()
                }
                writeBatch(channel, batch)
                batch.forEach { it.onDurable(true) }
            } catch (e: Exception) {
                // Without its writer the host would answer no write any more, whatever went wrong with this one.
                onFailure("write to ${folder.fileName} failed: $e")
                // The content of the file is unknown after a failed write or sync, so the next record goes to a new file.
                channel?.close()
                channel = null
                files.lastOrNull()?.let { cut(it, it.syncedBytes) }
                batch.forEach { it.onDurable(false) }
            }
        }
        channel?.close()
    }

    private fun writeBatch(
        channel: FileChannel,
        batch: List<PendingRecord>,
    ) {
        val buffer = ByteBuffer.allocate(batch.sumOf { it.frame.remaining() })
        batch.forEach { buffer.put(it.frame) }
        buffer.flip()
        val file = files.last()
        file.sizeBytes += buffer.remaining()
        file.expiresAtEpochMillis = maxOf(file.expiresAtEpochMillis, batch.maxOf { it.expiresAtEpochMillis })
        while (buffer.hasRemaining()) channel.write(buffer)
        channel.force(false)
        file.syncedBytes = file.sizeBytes.toInt()
    }

    private fun createFile(): FileChannel {
        val path = folder.resolve("%012d$SUFFIX".format(nextFileNumber++))
        files += LogFile(path, 0)
        return FileChannel.open(path, CREATE, WRITE)
    }

    private fun deleteExpired() {
        val expired = files.dropLast(1).filter { it.expiresAtEpochMillis + EXPIRY_MARGIN_MILLIS < nowEpochMillis() }
        expired.forEach { Files.deleteIfExists(it.path) }
        files.removeAll(expired)
    }

    override fun close() {
        isClosed = true
        writer.join(CLOSE_TIMEOUT_MILLIS)
    }

    private companion object {
        const val SUFFIX = ".turns"
        const val MAX_QUEUED_RECORDS = 20_000
        const val MAX_BATCH_RECORDS = 512
        const val POLL_TIMEOUT_MILLIS = 200L
        const val CLOSE_TIMEOUT_MILLIS = 1_000L

        /** About 33 s of records at 20 turns of 6 KB per second, so that the space of expired records is freed in steps. */
        const val MAX_FILE_BYTES = 4_000_000L

        /** Tolerates clock skew between hosts and clock adjustments. */
        const val EXPIRY_MARGIN_MILLIS = 30_000L
    }
}

private const val HEADER_BYTES = 8

private fun encodeFrame(payload: ByteArray): ByteBuffer =
    ByteBuffer
        .allocate(HEADER_BYTES + payload.size)
        .putInt(payload.size)
        .putInt(checksum(payload))
        .put(payload)
        .flip()

/** Part of a log file that was passed over: [bytes] of it, of which [undecodedRecords] whole records have an unknown form. */
internal data class UnreadablePart(
    val file: String,
    val bytes: Int,
    val undecodedRecords: Int,
    /** Whether it is the newest file, whose end may be torn without the loss of anything that was acknowledged. */
    val isEndOfNewest: Boolean,
)

/** What [readFrames] has read: the bytes of no decoded frame, the whole frames among them, and the end of the last whole frame. */
internal class FramesRead(
    val unreadBytes: Int,
    val undecodedCount: Int,
    val lastIntactEnd: Int,
)

/**
 * Passes the payload of each intact frame to [onPayload], which returns whether it could be decoded. A frame with a wrong checksum is
 * passed over by its length, in case the next one is intact. No record is empty, so a length of zero is the start of an unwritten part.
 */
internal fun readFrames(
    bytes: ByteBuffer,
    onPayload: (ByteArray) -> Boolean,
): FramesRead {
    var readBytes = 0
    var undecodedCount = 0
    var lastIntactEnd = 0
    while (bytes.remaining() >= HEADER_BYTES) {
        val size = bytes.getInt()
        val checksum = bytes.getInt()
        if (size <= 0 || size > bytes.remaining()) break
        val payload = ByteArray(size)
        bytes.get(payload)
        if (checksum(payload) != checksum) continue
        lastIntactEnd = bytes.position()
        if (onPayload(payload)) readBytes += HEADER_BYTES + size else undecodedCount++
    }
    return FramesRead(bytes.limit() - readBytes, undecodedCount, lastIntactEnd)
}

private fun checksum(payload: ByteArray): Int = CRC32C().apply { update(payload) }.value.toInt()
