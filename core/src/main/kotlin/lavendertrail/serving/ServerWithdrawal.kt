package lavendertrail.serving

/** Why a server gets no more requests. */
public enum class ServerWithdrawal {
    /** Its entry is missing. */
    GONE,

    /** Another run of the server is listed under its id, or the same one for another service or with other software. */
    REPLACED,

    /** Its entry says that it leaves. */
    DRAINING,

    /** It has said in an answer to this host that it leaves. */
    LEAVING,
}

/**
 * Why [server], as it was listed when a request was placed at it, must not be sent the request; null if it may. Both placement and
 * the last moment before a request is written depend on this, since the entry may change in between.
 */
internal fun ServingParts.withdrawal(server: BackendServer): ServerWithdrawal? {
    val listed = servers[server.id]?.server
    return when {
        listed == null -> ServerWithdrawal.GONE
        listed.serverRun != server.serverRun || listed.streamOrigin != server.streamOrigin -> ServerWithdrawal.REPLACED
        listed.isDraining -> ServerWithdrawal.DRAINING
        server.serverRun in leavingServers -> ServerWithdrawal.LEAVING
        else -> null
    }
}
