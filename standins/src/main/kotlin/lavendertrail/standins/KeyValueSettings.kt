package lavendertrail.standins

/**
 * Sizes and limits of [KeyValueStandin]. [maxValueBytes] is the platform's limit of 1 MB. A watch gets a progress note
 * after [progressMillis] without changes. [keptChanges] are kept for watches that start in the past.
 */
public data class KeyValueSettings(
    public val maxValueBytes: Int = 1024 * 1024,
    public val progressMillis: Long = 1_000,
    public val keptChanges: Int = 100_000,
)

/** What kind of outage a stand-in simulates. */
public enum class Outage {
    NONE,

    /** Connections are refused and open ones are cut. */
    REFUSED,

    /** Requests are answered with status 503. */
    UNAVAILABLE,
}

/** Calls by kind since the start, and watches that wait now. */
public data class KeyValueCounts(
    public val reads: Long,
    public val writes: Long,
    public val leaseCalls: Long,
    public val watchesOpened: Long,
    public val watchesWaiting: Int,
)
