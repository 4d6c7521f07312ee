package lavendertrail.turns

/** The servers of a program's last turns by session, the newest last. */
internal class RecentServers {
    private val servers = LinkedHashMap<String, String>()

    fun add(
        sessionId: String,
        serverId: String,
    ) {
        servers.remove(sessionId)
        servers[sessionId] = serverId
        if (servers.size > MAX_SESSIONS) servers.remove(servers.keys.first())
    }

    /** The server of [sessionId], or of the program's newest turn for a session that has had none, whose prompt begins alike. */
    fun of(sessionId: String?): String? = servers[sessionId.orEmpty()] ?: servers.values.lastOrNull()

    private companion object {
        /** A parent with its sub-agents; programs that start more without end are not worth more memory. */
        const val MAX_SESSIONS = 12
    }
}
