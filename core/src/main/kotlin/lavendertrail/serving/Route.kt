package lavendertrail.serving

/**
 * Requests of one host and path prefix, and the services that answer them.
 *
 * [maxAttempts] limits the attempts after which one request may have run. [turnRetentionMillis] is how long a finished turn can be
 * continued; it is null where the caller sends the whole prompt itself.
 */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val targets: List<RouteTarget>,
    val kind: RequestKind,
    val timeoutMillis: Long,
    val targetLatencyMillis: Long,
    val maxAttempts: Int,
    val priority: Int,
    val isResumable: Boolean = false,
    val turnRetentionMillis: Long? = null,
    /** Whether callers need no key, although the configuration has accounts. */
    val isPublic: Boolean = false,
    /** Longest pause between events of a stream that is still on time; null where the configuration names none. */
    val eventGapAimMillis: Long? = null,
) {
    /** Whether a request that may have run can be sent again. */
    val isRepeatable: Boolean get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable)

    /** How long callers wait for the next event of a stream before they give it up. */
    internal val callerPatienceMillis: Long
        get() =
            maxOf(
                MIN_CALLER_PATIENCE_MILLIS,
                TARGET_LATENCIES_OF_PATIENCE * targetLatencyMillis,
                EVENT_GAPS_OF_PATIENCE * (eventGapAimMillis ?: 0),
            )
}

private const val MIN_CALLER_PATIENCE_MILLIS = 2_000L
private const val TARGET_LATENCIES_OF_PATIENCE = 4
private const val EVENT_GAPS_OF_PATIENCE = 8
