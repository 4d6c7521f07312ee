package lavendertrail.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** When appended entries are flushed to disk. Seals and truncations are always flushed before they are answered. */
@Serializable
public enum class FsyncPolicy {
    /** Every [JournalSettings.fsyncIntervalMillis]. A power loss may lose entries that this copy has accepted. */
    @SerialName("interval")
    INTERVAL,

    /** Before each append is answered, with one flush for all entries of the append. */
    @SerialName("always")
    ALWAYS,
}

/** Settings of a file-based [JournalStore]. */
@Serializable
public data class JournalSettings(
    public val segmentBytes: Long = 64L * 1024 * 1024,
    public val fsync: FsyncPolicy = FsyncPolicy.INTERVAL,
    public val fsyncIntervalMillis: Long = 50,
    /** A partition writes to one file at a time, and a node holds copies of few of the 1,024 partitions. */
    public val maxOpenFiles: Int = 256,
) {
    init {
        require(segmentBytes > 0) { "segmentBytes must be positive, was $segmentBytes" }
        require(fsyncIntervalMillis > 0) { "fsyncIntervalMillis must be positive, was $fsyncIntervalMillis" }
        require(maxOpenFiles > 0) { "maxOpenFiles must be positive, was $maxOpenFiles" }
    }
}
