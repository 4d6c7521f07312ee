package lavendertrail.turns

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The newest list of turn hosts that this host has read, and the newest one for which all records of this host have enough copies
 * ([settledRevision]). Both are on disk, so that a restart during an outage of the platform's store forgets neither.
 */
internal class KnownHosts(
    private val folder: Path,
) {
    @Volatile
    var listing = TurnHostListing(emptyList(), 0)
        private set

    /** 0 if this host has not settled any list yet. */
    @Volatile
    var settledRevision = 0L
        private set

    /** The revision of the first list that this disk knew; 0 before that. Records of earlier lists may have been lost with another disk. */
    @Volatile
    var firstRevision = 0L
        private set

    val state: ListStateReply get() = ListStateReply(listing.revision, settledRevision, firstRevision)

    val isSettled: Boolean get() = settledRevision == listing.revision

    /** Reads the list that an earlier run saved; an unreadable file counts as none, since the list is also in the platform's store. */
    fun load() {
        val file = folder.resolve(FILE_NAME)
        if (!Files.exists(file)) return
        val saved =
            try {
                json.decodeFromString(SavedList.serializer(), Files.readString(file))
            } catch (_: IllegalArgumentException) {
                return
            } catch (_: IOException) {
                return
            }
        val hosts = TurnHostDirectory.decode(saved.hosts) ?: return
        listing = TurnHostListing(hosts, saved.revision)
        settledRevision = saved.settledRevision
        firstRevision = saved.firstRevision
    }

    /** Replaces the list by [newer]; false if [newer] is not newer. The caller saves it before it relies on it after a restart. */
    @Synchronized
    fun adopt(newer: TurnHostListing): Boolean {
        if (newer.revision <= listing.revision) return false
        listing = newer
        if (firstRevision == 0L) firstRevision = newer.revision
        return true
    }

    /** Records, durably, that all records that were stored before the list of [revision] was known have enough copies. */
    @Synchronized
    @Throws(IOException::class)
    fun settle(revision: Long) {
        settledRevision = maxOf(settledRevision, revision)
        save()
    }

    /** Writes the list to disk. */
    @Synchronized
    @Throws(IOException::class)
    fun save() {
        val saved = SavedList(listing.revision, settledRevision, firstRevision, TurnHostDirectory.encode(listing.hosts))
        replaceFile(folder, FILE_NAME, json.encodeToString(SavedList.serializer(), saved).toByteArray())
    }

    @Serializable
    private data class SavedList(
        val revision: Long,
        val settledRevision: Long,
        val firstRevision: Long,
        val hosts: String,
    )

    private companion object {
        const val FILE_NAME = "turn-hosts"
        val json = Json { ignoreUnknownKeys = true }
    }
}
