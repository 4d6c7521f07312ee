package lavendertrail.serving

/**
 * A client account, which callers name by a key.
 *
 * [priority] goes before the priority of the route; null if the account has none. [requestsPerSecond] and [burstRequests] are the
 * limit that the configuration states for all entry hosts together; [requestsPerSecond] is null where it states none.
 */
public data class ClientAccount(
    val name: String,
    val priority: Int? = null,
    val requestsPerSecond: Double? = null,
    val burstRequests: Double = 0.0,
)
