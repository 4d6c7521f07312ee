package lavendertrail.turns

import lavendertrail.serving.TurnHost
import lavendertrail.serving.rankTurnHosts

/**
 * Which turn host decides for a key, such as a client account or a server with a request limit, by the list that is known here and by
 * those that it has replaced within [trustMillis]. Hosts that don't know of a change yet may go by the latter.
 */
internal class ListHistory(
    private val ownHost: TurnHost,
    private val trustMillis: Long,
    private val nowMillis: () -> Long,
) {
    private var listing = TurnHostListing(emptyList(), 0)
    private val superseded = ArrayDeque<SupersededListing>()

    private class SupersededListing(
        val hosts: List<TurnHost>,
        val atMillis: Long,
    )

    /** Takes [known] as the newest list that this host knows. */
    fun adopt(known: TurnHostListing) {
        if (known.revision <= listing.revision) return
        if (listing.hosts.isNotEmpty()) superseded += SupersededListing(listing.hosts, nowMillis())
        listing = known
    }

    /** Whether no other host can decide for [key] by a list that may still be in use. */
    fun isOnlyHolder(key: String): Boolean {
        superseded.removeAll { nowMillis() - it.atMillis >= trustMillis }
        return isHolder(key, listing.hosts) && superseded.all { isHolder(key, it.hosts) }
    }

    private fun isHolder(
        key: String,
        hosts: List<TurnHost>,
    ): Boolean = rankTurnHosts(key, hosts).firstOrNull() == ownHost
}
