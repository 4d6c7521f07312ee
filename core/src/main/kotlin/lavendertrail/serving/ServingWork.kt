package lavendertrail.serving

/** The state and effects of a step while it is being computed. */
internal class ServingWork(
    var parts: ServingParts,
    val nowMillis: Long,
) {
    val effects = mutableListOf<ServingEffect>()
    val settings: ServingSettings get() = parts.settings

    fun emit(effect: ServingEffect) {
        effects += effect
    }

    fun pendingRequest(key: RequestKey): PendingRequest? = parts.requests[key]

    fun putRequest(request: PendingRequest) {
        parts = parts.copy(requests = parts.requests.put(request.key, request))
    }

    fun removeRequest(key: RequestKey) {
        parts = parts.copy(requests = parts.requests.remove(key))
    }

    fun updateServer(
        id: String?,
        change: (ServerState) -> ServerState,
    ) {
        val state = parts.servers[id ?: return] ?: return
        parts = parts.copy(servers = parts.servers.put(id, change(state)))
    }

    /** Changes the state of the server of the latest attempt, unless another run has taken its place. */
    fun updateAttemptServer(
        pending: PendingRequest,
        change: (ServerState) -> ServerState,
    ) {
        val sentTo = pending.sentTo ?: return
        updateServer(sentTo.id) { if (it.server.serverRun == sentTo.serverRun) change(it) else it }
    }
}
