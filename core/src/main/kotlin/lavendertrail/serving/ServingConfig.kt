package lavendertrail.serving

/** One version of the routes, services and limits in force. A higher [version] replaces a lower one. */
public data class ServingConfig(
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, ServiceSpec>,
    val limits: CallerLimits,
    /** Null where callers need no key. */
    val accounts: ClientAccounts? = null,
) {
    // The route with the longest matching prefix applies, so routes are sorted by prefix length.
    private val routesByHost: Map<String, List<Route>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, list) -> list.sortedByDescending { it.prefix.length } }

    /** The smallest number among the priorities of routes and accounts; null without routes. */
    internal val mostUrgentPriority: Int? by lazy {
        (routes.map { it.priority } + accounts?.accounts.orEmpty().mapNotNull { it.priority }).minOrNull()
    }

    /** The longest time for which a finished turn can be continued; zero if no route keeps turns. */
    internal val longestTurnRetentionMillis: Long by lazy { routes.maxOfOrNull { it.turnRetentionMillis ?: 0 } ?: 0 }

    /** The longest time that a request may take; zero without routes. */
    internal val longestTimeoutMillis: Long by lazy { routes.maxOfOrNull { it.timeoutMillis } ?: 0 }

    /** The route of [path] on [host], which may carry a port, or null where none matches. */
    public fun route(
        host: String,
        path: String,
    ): Route? {
        val name = host.substringBeforeLast(':', host).lowercase()
        return routesByHost[name]?.firstOrNull { path.startsWith(it.prefix) }
    }
}
