package lavendertrail.turns

/** The server of the last turn of each session of a program, most recent last. */
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

    /** The server of [sessionId], or for a new session that of the program's last turn, since prompts of a program share a prefix. */
    fun forSession(sessionId: String?): String? = servers[sessionId.orEmpty()] ?: servers.values.lastOrNull()

    private companion object {
        /** Enough for a parent with its sub-agents; bounds the memory of programs that keep starting new sessions. */
        const val MAX_SESSIONS = 12
    }
}
