package lavendertrail.membership

/**
 * What this node knows about a peer. [listed] is false if the key-value service no longer has the peer's record.
 * [failingSinceMillis] is the time of the first failed probe since the last answered one, or null if there is none.
 */
public data class PeerView(
    public val record: NodeRecord,
    public val listed: Boolean = true,
    public val leaving: Boolean = false,
    public val lastHeardMillis: Long? = null,
    public val failingSinceMillis: Long? = null,
    public val unlistedSinceMillis: Long? = null,
)
