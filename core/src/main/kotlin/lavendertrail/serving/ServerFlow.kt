package lavendertrail.serving

/*
 * Maintains the list of backend servers. While the platform's store is down, the entry of a live server may expire. Such an entry stays
 * in use until a grace period after the store's return, in which servers write their entries again. An entry that is missing after any
 * shorter silence, or that was written since the return, belongs to a server that has left.
 */

internal fun ServingWork.updateStoreReachability(isReachable: Boolean) {
    if (isReachable == parts.isStoreReachable) return
    if (!isReachable) {
        parts = parts.copy(isStoreReachable = false)
        return
    }
    val silentMillis = parts.storeContactAtMillis?.let { nowMillis - it }
    val mayHaveExpired = silentMillis == null || silentMillis >= settings.minExpiringOutageMillis
    parts =
        parts.copy(
            isStoreReachable = true,
            storeReachableSinceMillis = nowMillis,
            expiryGraceEndsAtMillis = if (mayHaveExpired) nowMillis + settings.expiredEntryGraceMillis else parts.expiryGraceEndsAtMillis,
        )
    recordStoreContact()
}

internal fun ServingWork.recordStoreContact() {
    parts = parts.copy(storeContactAtMillis = nowMillis)
}

/** Takes over an entry that was written while this process follows the store. */
internal fun ServingWork.renewServer(server: BackendServer) {
    addOrUpdateServer(server)
    updateServer(server.id) { it.copy(renewedAtMillis = nowMillis) }
}

internal fun ServingWork.addOrUpdateServer(server: BackendServer) {
    updateLeaving(server.id, server)
    val known = parts.servers[server.id]?.takeIf { it.server.serverRun == server.serverRun }
    if (known == null) dropServer(server.id)
    val isNewlyDraining = server.isDraining && known?.server?.isDraining == false
    val state = known?.copy(server = server, expiredAtMillis = null) ?: ServerState(server, CachedParts(settings.maxCachedParts))
    val drainingSinceMillis = (state.drainingSinceMillis ?: nowMillis).takeIf { server.isDraining }
    parts = parts.copy(servers = parts.servers.put(server.id, state.copy(drainingSinceMillis = drainingSinceMillis)))
    if (isNewlyDraining && !isLeaving(server)) emitWithdrawal(server.id)
}

internal fun ServingWork.replaceServers(servers: List<BackendServer>) {
    val listed = servers.mapTo(mutableSetOf()) { it.id }
    parts.servers.keys
        .filter { it !in listed }
        .forEach { removeServer(it) }
    servers.forEach { addOrUpdateServer(it) }
}

internal fun ServingWork.removeServer(
    id: String,
    mayHaveExpired: Boolean = true,
) {
    updateLeaving(id, null)
    if (mayHaveExpired && isWithinExpiryGrace() && !isRenewedSinceOutage(id)) {
        updateServer(id) { if (it.expiredAtMillis == null) it.copy(expiredAtMillis = nowMillis) else it }
    } else {
        dropServer(id)
    }
}

internal fun ServingWork.dropExpiredServers() {
    if (isWithinExpiryGrace()) return
    parts.servers.values
        .filter { it.expiredAtMillis != null }
        .forEach { dropServer(it.server.id) }
}

private fun ServingWork.isWithinExpiryGrace(): Boolean = !parts.isStoreReachable || nowMillis < parts.expiryGraceEndsAtMillis

private fun ServingWork.isRenewedSinceOutage(id: String): Boolean {
    val renewedAtMillis = parts.servers[id]?.renewedAtMillis ?: return false
    return parts.isStoreReachable && renewedAtMillis >= parts.storeReachableSinceMillis
}

private fun ServingWork.dropServer(id: String) {
    if (id !in parts.servers) return
    emitWithdrawal(id)
    parts = parts.copy(servers = parts.servers.remove(id))
}

internal fun ServingWork.emitWithdrawal(id: String) {
    val state = parts.servers[id]
    val changedAtMillis = state?.drainingSinceMillis ?: state?.expiredAtMillis ?: nowMillis
    emit(CloseServerConnections(id, state?.lastSentAtMillis?.minus(changedAtMillis)))
}
