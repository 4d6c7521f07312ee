package lavendertrail.journal

import kotlinx.serialization.Serializable

/** Settings of a [JournalReplicator]. A copy that delays an append by [reportMillis] is reported. */
@Serializable
public data class ReplicatorSettings(
    public val minRetryMillis: Long = 20,
    public val maxRetryMillis: Long = 1_000,
    public val reportMillis: Long = 2_000,
    public val maxBatchBytes: Int = 1024 * 1024,
    public val maxBatchEntries: Int = 1_024,
    public val pageBytes: Int = 1024 * 1024,
    /** Concurrent appends to one journal node; further ones queue. An unresponsive node doesn't delay appends to other nodes. */
    public val threadsPerNode: Int = 16,
    public val parallelRecoveries: Int = 32,
) {
    init {
        require(minRetryMillis in 1..maxRetryMillis) { "minRetryMillis must be in 1..$maxRetryMillis, was $minRetryMillis" }
        require(reportMillis > 0) { "reportMillis must be positive, was $reportMillis" }
        require(maxBatchBytes > 0 && maxBatchEntries > 0) { "batch limits must be positive, were $maxBatchBytes and $maxBatchEntries" }
        require(parallelRecoveries > 0) { "parallelRecoveries must be positive, was $parallelRecoveries" }
    }
}
