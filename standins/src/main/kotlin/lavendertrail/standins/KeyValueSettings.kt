package lavendertrail.standins

/**
 * Sizes and limits of [KeyValueStandin]. [maxValueBytes] is the limit of the platform's service, 1 MB. A watch receives a
 * progress notification after [progressIntervalMillis] without changes. The last [maxKeptChanges] changes are kept for watches
 * that start at a past revision.
 */
public data class KeyValueSettings(
    public val maxValueBytes: Int = 1024 * 1024,
    public val progressIntervalMillis: Long = 1_000,
    public val maxKeptChanges: Int = 100_000,
)

/** The kind of outage that a stand-in simulates. */
public enum class Outage {
    NONE,

    /** New connections are refused and open ones are closed. */
    REFUSED,

    /** Requests are answered with status 503. */
    UNAVAILABLE,
}

/** The number of calls by kind since the start, and of watches that are open now. */
public data class KeyValueCounts(
    public val reads: Long,
    public val writes: Long,
    public val leaseCalls: Long,
    public val totalWatches: Long,
    public val openWatches: Int,
)
