package lavendertrail.journal

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import java.nio.ByteBuffer
import java.nio.file.Path

private val names = listOf("state.a", "state.b")

/** The files keep this size, so that a seal needs no new block and is possible on a full disk. */
private const val STATE_BYTES = 256

/**
 * Writes [state] to both state files of a copy, one after the other, and returns it with the version written. After a
 * crash at any point, and after damage to one file, the other one is whole.
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun writeState(
    directory: Path,
    files: JournalFiles,
    state: CopyState,
): CopyState {
    val next = state.copy(version = state.version + 1)
    val bytes = frame(journalCbor.encodeToByteArray(CopyState.serializer(), next)).copyOf(STATE_BYTES)
    for (name in names) {
        files.open(directory.resolve(name)).use { file ->
            file.writeFully(ByteBuffer.wrap(bytes), 0)
            file.force()
        }
    }
    return next
}

/** Null where there is no state or both files are damaged: without its seal a copy can't say what it must refuse. */
internal fun readStateOrNull(
    directory: Path,
    files: JournalFiles,
): CopyState? = names.mapNotNull { readOneOrNull(directory.resolve(it), files) }.maxByOrNull { it.version }

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
