package lavendertrail.serving

/**
 * The rate of requests that a backend server accepts from all entry hosts together, as it states in its answers while it is
 * short of capacity. [statedAtMillis] is when this process last received the statement.
 */
public data class RequestLimit(
    val requestsPerSecond: Double,
    val statedAtMillis: Long,
)
