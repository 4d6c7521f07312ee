package lavendertrail.serving

/*
 * Servers that say in their answers that they leave. What this host has learned that way holds whatever the store says: while the
 * store is down or refuses this host, the entry of a leaving server still looks ready.
 */

/** What is known of a run of a server that leaves. Another run under the same id, or at the same address, is not leaving. */
internal data class LeavingServer(
    val learntAtMillis: Long,
    /** Whether the store's entry has said so too, or has been removed. */
    val isEntryCurrent: Boolean,
)

/** Whether [server] has said in an answer to this host that it leaves. */
internal fun ServingWork.isLeaving(server: BackendServer): Boolean = server.serverRun in parts.leavingServers

/** From here on the server gets no new requests; those under way go on. */
internal fun ServingWork.markLeaving(event: ServerLeavingSeen) {
    val server = event.server
    if (isLeaving(server)) return
    val listed = parts.servers[server.id]?.server
    val isEntryCurrent = listed?.serverRun != server.serverRun || listed.isDraining
    val mark = LeavingServer(nowMillis, isEntryCurrent)
    parts = parts.copy(leavingServers = parts.leavingServers.put(server.serverRun, mark))
    emit(ReportLeavingServer(server.id, event.key, isFirst = true, entryLagMillis = if (isEntryCurrent) 0 else null))
    emitWithdrawal(server.id)
}

/** Notes when the entry, which is about to become that of [server] or to be removed, says what the answers have said. */
internal fun ServingWork.updateLeaving(
    id: String,
    server: BackendServer?,
) {
    val run = parts.servers[id]?.server?.serverRun ?: return
    val mark = parts.leavingServers[run] ?: return
    val isReady = server?.serverRun == run && !server.isDraining
    if (mark.isEntryCurrent || isReady) return
    parts = parts.copy(leavingServers = parts.leavingServers.put(run, mark.copy(isEntryCurrent = true)))
    emit(ReportLeavingServer(id, key = null, isFirst = false, entryLagMillis = nowMillis - mark.learntAtMillis))
}

/** Drops marks of servers that have been gone for long. A server that leaves has ended within seconds. */
internal fun ServingWork.forgetLeavingServers() {
    val old = parts.leavingServers.filterValues { nowMillis - it.learntAtMillis > settings.leavingServerRetentionMillis }.keys
    if (old.isEmpty()) return
    parts = parts.copy(leavingServers = old.fold(parts.leavingServers) { marks, run -> marks.remove(run) })
}
