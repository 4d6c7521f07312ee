package lavendertrail.peer

/**
 * Time and size limits of calls between nodes. A unary call spends at most half of its timeout on the current connection
 * and the rest on a new one, so that a stalled connection does not make a live peer look dead.
 */
public data class PeerLimits(
    public val probeTimeoutMillis: Long = 400,
    public val journalTimeoutMillis: Long = 2_000,
    public val configTimeoutMillis: Long = 5_000,
    public val handoverTimeoutMillis: Long = 2_000,
    public val dumpTimeoutMillis: Long = 10_000,
    public val submitTimeoutMillis: Long = 3_600_000,
    public val connectTimeoutMillis: Int = 1_000,
    public val maxMessageBytes: Int = 16 * 1024 * 1024,
    public val flowControlWindowBytes: Int = 1024 * 1024,
    public val keepAliveMillis: Long = 10_000,
    public val keepAliveTimeoutMillis: Long = 2_000,
    public val journalThreads: Int = 32,
    public val maxSubmitStreams: Int = 2_048,
) {
    init {
        require(maxMessageBytes > 0) { "maxMessageBytes must be positive, was $maxMessageBytes" }
        require(maxSubmitStreams > 0) { "maxSubmitStreams must be positive, was $maxSubmitStreams" }
    }
}
