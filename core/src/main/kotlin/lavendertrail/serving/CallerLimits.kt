package lavendertrail.serving

/**
 * Size limits of a request, and timeouts of a caller's connection.
 *
 * [headerTimeoutMillis] applies once the header has been read: it limits the time without data while the body is incomplete.
 * [idleTimeoutMillis] applies between requests, which includes an incomplete header.
 */
public data class CallerLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 4_194_304,
    val headerTimeoutMillis: Long = 3_000,
    val idleTimeoutMillis: Long = 15_000,
)
