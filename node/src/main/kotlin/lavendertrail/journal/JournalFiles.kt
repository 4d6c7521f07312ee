package lavendertrail.journal

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption

/** An open file, with functions as in [FileChannel]. Tests replace it to inject faults. */
internal interface JournalFile : AutoCloseable {
    fun size(): Long

    /** Reads up to the remaining space of [buffer] and returns the number of bytes read, or -1 at the end of the file. */
    fun read(
        buffer: ByteBuffer,
        position: Long,
    ): Int

    /** Writes some or all of [buffer] and returns the number of bytes written. */
    fun write(
        buffer: ByteBuffer,
        position: Long,
    ): Int

    fun truncate(size: Long)

    fun force()
}

/** The file system operations that the journal uses. */
internal interface JournalFiles {
    fun open(path: Path): JournalFile

    fun createDirectories(path: Path)

    /** Returns the sorted file names in [directory], or an empty list if it doesn't exist. */
    fun list(directory: Path): List<String>

    fun exists(path: Path): Boolean

    fun delete(path: Path)

    /** Makes the creation, renaming and deletion of files in [directory] durable. */
    fun syncDirectory(directory: Path)
}

internal object DiskFiles : JournalFiles {
    override fun open(path: Path): JournalFile = DiskFile(path)

    override fun createDirectories(path: Path) {
        Files.createDirectories(path)
    }

    override fun list(directory: Path): List<String> {
        if (!Files.isDirectory(directory)) return emptyList()
        return Files.list(directory).use { paths -> paths.map { it.fileName.toString() }.sorted().toList() }
    }

    override fun exists(path: Path) = Files.exists(path)

    override fun delete(path: Path) {
        Files.deleteIfExists(path)
    }

    override fun syncDirectory(directory: Path) = FileChannel.open(directory, StandardOpenOption.READ).use { it.force(true) }
}

private class DiskFile(
    path: Path,
) : JournalFile {
    private val channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)

    override fun size() = channel.size()

    override fun read(
        buffer: ByteBuffer,
        position: Long,
    ) = channel.read(buffer, position)

    override fun write(
        buffer: ByteBuffer,
        position: Long,
    ) = channel.write(buffer, position)

    override fun truncate(size: Long) {
        channel.truncate(size)
    }

    override fun force() = channel.force(true)

    override fun close() = channel.close()
}
