package lavendertrail.turns

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import lavendertrail.serving.CrashEvidence
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executor
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import kotlin.concurrent.thread

/**
 * The file in [folder] in which a turn host keeps reports about requests that crash servers over a restart. It is written on a thread
 * of its own; reports that arrive meanwhile share the next write. Each write replaces the whole file, which is small.
 */
internal class CrashNoticeFile(
    private val folder: Path,
    /** Runs on the thread on which the reports are handled. */
    private val executor: Executor,
    private val nowEpochMillis: () -> Long,
    private val onFailure: (String) -> Unit,
) {
    private val writer =
        Executors.newSingleThreadExecutor { task -> thread(start = false, isDaemon = true, name = "crash-notices") { task.run() } }
    private var isWriting = false
    private var isWriteNeeded = false

    /** The reports that an earlier run saved, as old as they are now; none if the file can't be read. */
    fun load(): List<CrashEvidence> {
        val file = folder.resolve(FILE_NAME)
        if (!Files.exists(file)) return emptyList()
        try {
            val saved = json.decodeFromString(SavedNotices.serializer(), Files.readString(file))
            val ageMillis = (nowEpochMillis() - saved.savedAtEpochMillis).coerceAtLeast(0)
            return saved.evidence.map {
                it.copy(startedMillisAgo = it.startedMillisAgo + ageMillis, endedMillisAgo = it.endedMillisAgo + ageMillis)
            }
        } catch (e: IOException) {
            onFailure("reading $FILE_NAME failed: $e")
        } catch (e: SerializationException) {
            onFailure("reading $FILE_NAME failed: $e")
        }
        return emptyList()
    }

    /** Writes what [evidence] returns when the write begins. */
    fun save(evidence: () -> List<CrashEvidence>) {
        isWriteNeeded = true
        if (isWriting) return
        isWriting = true
        isWriteNeeded = false
        val notices = SavedNotices(nowEpochMillis(), evidence())
        writer.execute {
            write(notices)
            Thread.sleep(MIN_INTERVAL_MILLIS)
            try {
                executor.execute { continueAfterWrite(evidence) }
            } catch (_: RejectedExecutionException) {
                // The process ends.
            }
        }
    }

    private fun continueAfterWrite(evidence: () -> List<CrashEvidence>) {
        isWriting = false
        if (isWriteNeeded) save(evidence)
    }

    private fun write(notices: SavedNotices) {
        try {
            replaceFile(folder, FILE_NAME, json.encodeToString(SavedNotices.serializer(), notices).toByteArray())
        } catch (e: IOException) {
            onFailure("writing $FILE_NAME failed: $e")
        }
    }

    @Serializable
    private class SavedNotices(
        val savedAtEpochMillis: Long,
        val evidence: List<CrashEvidence>,
    )

    private companion object {
        const val FILE_NAME = "crash-notices"

        /** Bounds the work while many connections are lost, for example in an outage of many servers. */
        const val MIN_INTERVAL_MILLIS = 200L
        val json = Json { ignoreUnknownKeys = true }
    }
}
