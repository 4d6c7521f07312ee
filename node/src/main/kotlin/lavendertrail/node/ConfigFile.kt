package lavendertrail.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import lavendertrail.reducer.ConfigRecordsReceived
import lavendertrail.reducer.StoredRecord
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import kotlin.io.path.createDirectories
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Copy of the configuration on the node's disk, used at a start while neither the key-value service nor a peer answers. */
internal class ConfigFile(
    folder: Path,
) {
    @Serializable
    private data class Saved(
        val records: List<StoredRecord>,
        val headRevision: Long,
    )

    private val file = folder.resolve("config.json")
    private var savedRevision = 0L

    /** Replaces the file atomically, so that a crash leaves the old or the new one. An older revision is not written. */
    @Synchronized
    fun save(
        records: List<StoredRecord>,
        headRevision: Long,
    ) {
        if (headRevision < savedRevision) return
        try {
            file.parent.createDirectories()
            val newFile = file.resolveSibling("config.json.new")
            newFile.writeText(ServiceKeys.json.encodeToString(Saved(records, headRevision)))
            Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
            savedRevision = headRevision
        } catch (error: IOException) {
            Logger.warn("config: '$file' could not be written: $error")
        }
    }

    /** Null if there is no file or it can't be read. */
    fun load(): ConfigRecordsReceived? {
        if (!file.exists()) return null
        return try {
            val saved = ServiceKeys.json.decodeFromString<Saved>(file.readText())
            ConfigRecordsReceived(saved.records, saved.headRevision, "file")
        } catch (error: SerializationException) {
            Logger.warn("config: '$file' can't be read: ${error.message}")
            null
        } catch (error: IOException) {
            Logger.warn("config: '$file' can't be read: $error")
            null
        }
    }
}
