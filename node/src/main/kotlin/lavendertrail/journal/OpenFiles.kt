package lavendertrail.journal

import java.nio.channels.ClosedChannelException
import java.nio.file.Path

/**
 * Keeps up to [maxOpen] files open and closes the least recently used one. A file in use is never closed, so the number
 * of open files may exceed [maxOpen] by the number of threads that use one. Closing doesn't flush: a later flush through
 * another handle of the same file writes the same pages.
 */
internal class OpenFiles(
    private val files: JournalFiles,
    private val maxOpen: Int,
) : AutoCloseable {
    private class Handle(
        val file: JournalFile,
        var users: Int = 0,
    )

    private val handles = LinkedHashMap<Path, Handle>(16, 0.75f, true)

    val openCount: Int get() = synchronized(handles) { handles.size }

    fun <T> use(
        path: Path,
        work: (JournalFile) -> T,
    ): T {
        val handle = acquire(path)
        try {
            return work(handle.file)
        } catch (e: ClosedChannelException) {
            // Interrupting a thread closes the channel that it uses; the next use reopens the file.
            synchronized(handles) { handles.remove(path, handle) }
            throw e
        } finally {
            synchronized(handles) { handle.users-- }
        }
    }

    /** Closes the handle of a file that is about to be deleted. */
    fun closeHandle(path: Path) = synchronized(handles) { handles.remove(path)?.file?.close() ?: Unit }

    override fun close() =
        synchronized(handles) {
            handles.values.forEach { it.file.close() }
            handles.clear()
        }

    private fun acquire(path: Path): Handle =
        synchronized(handles) {
            val handle = handles[path] ?: Handle(files.open(path)).also { handles[path] = it }
            handle.users++
            closeUnused()
            handle
        }

    private fun closeUnused() {
        val iterator = handles.values.iterator()
        while (handles.size > maxOpen && iterator.hasNext()) {
            val handle = iterator.next()
            if (handle.users > 0) continue
            iterator.remove()
            handle.file.close()
        }
    }
}
