package lavendertrail.journal

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.file.Path

/** Fault injected into one file operation. */
internal sealed interface Fault {
    data object None : Fault

    data object Failure : Fault

    /** A write stores the first [bytes] and then fails. */
    class TornWrite(
        val bytes: Int,
    ) : Fault

    /** A write stores only the first [bytes] and reports this number. */
    class ShortWrite(
        val bytes: Int,
    ) : Fault

    class Delay(
        val millis: Long,
    ) : Fault
}

/** Disk files with a [fault] per operation. [losePower] truncates each file to its last flushed size. */
internal class FaultyFiles(
    private val fault: (operation: String, path: Path) -> Fault = { _, _ -> Fault.None },
) : JournalFiles {
    private val flushedBytes = mutableMapOf<Path, Long>()

    fun losePower() = flushedBytes.forEach { (path, bytes) -> DiskFiles.open(path).use { it.truncate(bytes) } }

    override fun open(path: Path): JournalFile {
        applyFault("open", path)
        val file = DiskFiles.open(path)
        flushedBytes.putIfAbsent(path, file.size())
        return FaultyFile(path, file)
    }

    override fun createDirectories(path: Path) {
        applyFault("createDirectories", path)
        DiskFiles.createDirectories(path)
    }

    override fun list(directory: Path) = DiskFiles.list(directory)

    override fun exists(path: Path) = DiskFiles.exists(path)

    override fun delete(path: Path) {
        applyFault("delete", path)
        flushedBytes.remove(path)
        DiskFiles.delete(path)
    }

    override fun syncDirectory(directory: Path) {
        applyFault("syncDirectory", directory)
        DiskFiles.syncDirectory(directory)
    }

    private fun applyFault(
        operation: String,
        path: Path,
    ): Fault {
        val found = fault(operation, path)
        if (found is Fault.Failure) throw IOException("no space left on device")
        if (found is Fault.Delay) Thread.sleep(found.millis)
        return found
    }

    private inner class FaultyFile(
        private val path: Path,
        private val file: JournalFile,
    ) : JournalFile by file {
        override fun write(
            buffer: ByteBuffer,
            position: Long,
        ): Int =
            when (val found = applyFault("write", path)) {
                is Fault.TornWrite -> {
                    writePart(buffer, position, found.bytes)
                    throw IOException("no space left on device")
                }
                is Fault.ShortWrite -> writePart(buffer, position, found.bytes)
                else -> file.write(buffer, position)
            }

        override fun truncate(size: Long) {
            applyFault("truncate", path)
            file.truncate(size)
        }

        override fun force() {
            applyFault("force", path)
            file.force()
            flushedBytes[path] = file.size()
        }

        private fun writePart(
            buffer: ByteBuffer,
            position: Long,
            bytes: Int,
        ): Int {
            val part = buffer.slice(buffer.position(), minOf(bytes, buffer.remaining()))
            val count = file.write(part, position)
            buffer.position(buffer.position() + count)
            return count
        }
    }
}
