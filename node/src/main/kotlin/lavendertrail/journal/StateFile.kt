package lavendertrail.journal

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import java.nio.ByteBuffer
import java.nio.file.Path

private val stateFileNames = listOf("state.a", "state.b")

/** Fixed size of a state file, so that writing a seal needs no new block and succeeds on a full disk. */
private const val STATE_BYTES = 256

/**
 * Writes [state] to both state files of a copy, one after the other, and returns it with its new version. After a crash
 * at any point or damage to one file, the other file is intact.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun writeState(
    directory: Path,
    files: JournalFiles,
    state: CopyState,
): CopyState {
    val next = state.copy(version = state.version + 1)
    val bytes = frame(journalCbor.encodeToByteArray(CopyState.serializer(), next)).copyOf(STATE_BYTES)
    for (name in stateFileNames) {
        files.open(directory.resolve(name)).use { file ->
            file.writeFully(ByteBuffer.wrap(bytes), 0)
            file.force()
        }
    }
    return next
}

/** Returns null if there is no state or both files are damaged; without its seal a copy can't tell which requests to reject. */
internal fun readStateOrNull(
    directory: Path,
    files: JournalFiles,
): CopyState? = stateFileNames.mapNotNull { readOneOrNull(directory.resolve(it), files) }.maxByOrNull { it.version }

@OptIn(ExperimentalSerializationApi::class)
private fun readOneOrNull(
    path: Path,
    files: JournalFiles,
): CopyState? {
    if (!files.exists(path)) return null
    val frame = files.open(path).use { FrameReader(it).readAt(0) } as? FrameRead.Whole ?: return null
    return try {
        journalCbor.decodeFromByteArray(CopyState.serializer(), frame.payload)
    } catch (_: SerializationException) {
        null
    }
}
