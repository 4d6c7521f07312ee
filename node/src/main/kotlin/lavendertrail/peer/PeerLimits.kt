package lavendertrail.peer

/**
 * Time and size limits of calls between nodes. Unary calls use half of their limit on the current connection and the
 * rest on a fresh one, so a connection that has gone silent does not make a live peer look dead.
 */
public data class PeerLimits(
    public val probeTimeoutMillis: Long = 400,
    public val journalMillis: Long = 2_000,
    public val configMillis: Long = 5_000,
    public val handoverMillis: Long = 2_000,
    public val dumpMillis: Long = 10_000,
    public val submitMillis: Long = 3_600_000,
    public val connectMillis: Int = 1_000,
    public val maxMessageBytes: Int = 16 * 1024 * 1024,
    public val flowControlWindowBytes: Int = 1024 * 1024,
    public val keepAliveMillis: Long = 10_000,
    public val keepAliveTimeoutMillis: Long = 2_000,
    public val journalThreads: Int = 32,
    public val maxSubmits: Int = 2_048,
) {
    init {
        require(maxMessageBytes > 0) { "maxMessageBytes must be positive, was $maxMessageBytes" }
        require(maxSubmits > 0) { "maxSubmits must be positive, was $maxSubmits" }
    }
}
