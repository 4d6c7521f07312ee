package lavendertrail.serving

/*
 * The list of backend servers. An entry may lapse while the platform's store is away although its server lives; it is used
 * until a grace time after the store's return, in which servers write their entries anew.
 */

internal fun ServingWork.changeStore(isReachable: Boolean) {
    if (isReachable == parts.isStoreReachable) return
    parts = parts.copy(isStoreReachable = isReachable, storeChangedAtMillis = nowMillis)
}

internal fun ServingWork.changeServer(server: BackendServer) {
    val known = parts.servers[server.id]?.takeIf { it.server.startedEpochMillis == server.startedEpochMillis }
    if (known == null) forgetServer(server.id)
    val state =
        known?.copy(server = server, lapsedAtMillis = null)
            ?: ServerState(server, CachedParts(settings.maxCachedParts))
    parts = parts.copy(servers = parts.servers.put(server.id, state))
}

internal fun ServingWork.replaceServers(servers: List<BackendServer>) {
    val listed = servers.mapTo(mutableSetOf()) { it.id }
    parts.servers.keys
        .filter { it !in listed }
        .forEach { removeServer(it) }
    servers.forEach { changeServer(it) }
}

internal fun ServingWork.removeServer(id: String) {
    if (isWithinGrace()) {
        updateServer(id) { if (it.lapsedAtMillis == null) it.copy(lapsedAtMillis = nowMillis) else it }
    } else {
        forgetServer(id)
    }
}

internal fun ServingWork.dropLapsedServers() {
    if (isWithinGrace()) return
    parts.servers.values
        .filter { it.lapsedAtMillis != null }
        .forEach { forgetServer(it.server.id) }
}

private fun ServingWork.isWithinGrace(): Boolean =
    !parts.isStoreReachable || nowMillis - parts.storeChangedAtMillis < settings.lapsedGraceMillis

private fun ServingWork.forgetServer(id: String) {
    if (id !in parts.servers) return
    parts = parts.copy(servers = parts.servers.remove(id))
    emit(CloseServerConnections(id))
}
