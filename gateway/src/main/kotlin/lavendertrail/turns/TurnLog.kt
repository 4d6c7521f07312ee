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
 * Each start creates a new file, since the end of the last one may be torn. A file is deleted once all of its records have
 * expired.
 */
internal class TurnLog(
    private val folder: Path,
    private val nowEpochMillis: () -> Long,
    private val onFailure: (String) -> Unit,
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
    )

    /** Passes the payload of each intact frame to [onRecord], which returns its expiry time, and starts the writer thread. */
    fun open(onRecord: (ByteArray) -> Long) {
        Files.createDirectories(folder)
        val paths = Files.list(folder).use { list -> list.filter { it.fileName.toString().endsWith(SUFFIX) }.sorted().toList() }
        for (path in paths) {
            val bytes = Files.readAllBytes(path)
            val file = LogFile(path, 0, bytes.size.toLong())
            readFrames(ByteBuffer.wrap(bytes)) { payload ->
                file.expiresAtEpochMillis = maxOf(file.expiresAtEpochMillis, onRecord(payload))
            }
            files += file
            nextFileNumber = path.fileName
                .toString()
                .removeSuffix(SUFFIX)
                .toLong() + 1
        }
        writer = thread(name = "turn-log", isDaemon = true) { runWriter() }
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
            } catch (e: IOException) {
                onFailure("write to ${folder.fileName} failed: $e")
                // The content of the file is unknown after a failed write or sync, so the next record goes to a new file.
                channel?.close()
                channel = null
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

/**
 * Reads frames up to the first torn or corrupt one and ignores the rest of the file. Records after a torn write were never
 * acknowledged. Records after a corrupt frame in the middle of the file are ignored too, even if they were acknowledged.
 */
private fun readFrames(
    bytes: ByteBuffer,
    onPayload: (ByteArray) -> Unit,
) {
    while (bytes.remaining() >= HEADER_BYTES) {
        val size = bytes.getInt()
        val checksum = bytes.getInt()
        if (size < 0 || size > bytes.remaining()) return
        val payload = ByteArray(size)
        bytes.get(payload)
        if (checksum(payload) != checksum) return
        onPayload(payload)
    }
}

private fun checksum(payload: ByteArray): Int = CRC32C().apply { update(payload) }.value.toInt()
