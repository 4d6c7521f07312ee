package lavendertrail.turns

import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption.ATOMIC_MOVE
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.TRUNCATE_EXISTING
import java.nio.file.StandardOpenOption.WRITE

/** Replaces the file [name] in [folder] by [content], durably; after a failure or a power loss it has the old or the new content. */
@Throws(IOException::class)
internal fun replaceFile(
    folder: Path,
    name: String,
    content: ByteArray,
) {
    Files.createDirectories(folder)
    val bytes = ByteBuffer.wrap(content)
    val newFile = folder.resolve("$name.new")
    FileChannel.open(newFile, CREATE, WRITE, TRUNCATE_EXISTING).use { channel ->
        while (bytes.hasRemaining()) channel.write(bytes)
        channel.force(true)
    }
    Files.move(newFile, folder.resolve(name), ATOMIC_MOVE)
    // The new name lasts over a power loss only once the folder is synced too.
    FileChannel.open(folder, READ).use { it.force(true) }
}
