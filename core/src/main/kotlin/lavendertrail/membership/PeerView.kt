package lavendertrail.membership

/**
 * What this node knows about another from its own probes. [listed] is false where the key-value service no longer has
 * the node's record; [failingSinceMillis] is null while the last probe was answered.
 */
public data class PeerView(
    public val record: NodeRecord,
    public val listed: Boolean = true,
    public val leaving: Boolean = false,
    public val lastHeardMillis: Long? = null,
    public val failingSinceMillis: Long? = null,
    public val unlistedSinceMillis: Long? = null,
)
