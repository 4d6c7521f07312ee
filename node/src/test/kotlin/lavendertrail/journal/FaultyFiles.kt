package lavendertrail.journal

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.file.Path

/** What happens to one operation on a file. */
internal sealed interface Fault {
    data object None : Fault

    data object Fails : Fault

    /** A write puts the first [bytes] into the file and fails. */
    class Torn(
        val bytes: Int,
    ) : Fault

    /** A write puts the first [bytes] into the file and says so. */
    class Short(
        val bytes: Int,
    ) : Fault

    class Slow(
        val millis: Long,
    ) : Fault
}

/** Files on the disk with a [fault] per operation; [losePower] cuts files to what was flushed. */
internal class FaultyFiles(
    private val fault: (operation: String, path: Path) -> Fault = { _, _ -> Fault.None },
) : JournalFiles {
    private val flushedBytes = mutableMapOf<Path, Long>()

    fun losePower() = flushedBytes.forEach { (path, bytes) -> DiskFiles.open(path).use { it.truncate(bytes) } }

    override fun open(path: Path): JournalFile {
        step("open", path)
        val file = DiskFiles.open(path)
        flushedBytes.putIfAbsent(path, file.size())
        return FaultyFile(path, file)
    }

    override fun createDirectories(path: Path) {
        step("createDirectories", path)
        DiskFiles.createDirectories(path)
    }

    override fun list(directory: Path) = DiskFiles.list(directory)

    override fun exists(path: Path) = DiskFiles.exists(path)

    override fun delete(path: Path) {
        step("delete", path)
        flushedBytes.remove(path)
        DiskFiles.delete(path)
    }

    override fun syncDirectory(directory: Path) {
        step("syncDirectory", directory)
        DiskFiles.syncDirectory(directory)
    }

    private fun step(
        operation: String,
        path: Path,
    ): Fault {
        val found = fault(operation, path)
        if (found is Fault.Fails) throw IOException("no space left on device")
        if (found is Fault.Slow) Thread.sleep(found.millis)
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
            when (val found = step("write", path)) {
                is Fault.Torn -> {
                    writePart(buffer, position, found.bytes)
                    throw IOException("no space left on device")
                }
                is Fault.Short -> writePart(buffer, position, found.bytes)
                else -> file.write(buffer, position)
            }

        override fun truncate(size: Long) {
            step("truncate", path)
            file.truncate(size)
        }

        override fun force() {
            step("force", path)
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
