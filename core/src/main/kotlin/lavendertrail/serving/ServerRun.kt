package lavendertrail.serving

/** One run of a server. A later start under the same id, or a start at another address, is another run. */
public data class ServerRun(
    val id: String,
    val address: String,
    val startedEpochMillis: Long?,
)

public val BackendServer.serverRun: ServerRun get() = ServerRun(id, address, startedEpochMillis)
