package lavendertrail.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** When appended entries are flushed to the disk. Seals and cuts are always flushed before they are answered. */
@Serializable
public enum class FsyncPolicy {
    /** Every [JournalSettings.fsyncIntervalMillis]; a loss of power may lose entries that this copy accepted. */
    @SerialName("interval")
    INTERVAL,

    /** Before each append is answered. All entries of one append share one flush. */
    @SerialName("always")
    ALWAYS,
}

/** Settings of a file [JournalStore]. */
@Serializable
public data class JournalSettings(
    public val segmentBytes: Long = 64L * 1024 * 1024,
    public val fsync: FsyncPolicy = FsyncPolicy.INTERVAL,
    public val fsyncIntervalMillis: Long = 50,
    /** One partition writes one file at a time, and a node holds few of the 1,024 partitions. */
    public val maxOpenFiles: Int = 256,
) {
    init {
        require(segmentBytes > 0) { "segmentBytes must be positive, was $segmentBytes" }
        require(fsyncIntervalMillis > 0) { "fsyncIntervalMillis must be positive, was $fsyncIntervalMillis" }
        require(maxOpenFiles > 0) { "maxOpenFiles must be positive, was $maxOpenFiles" }
    }
}
