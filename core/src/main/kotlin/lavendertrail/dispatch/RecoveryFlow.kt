package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CallAttemptFailed
import lavendertrail.reducer.FindStream
import lavendertrail.reducer.StreamFound

/** Queries servers for a call that a former owner node started. The call isn't sent again before the result is known. */
internal fun DispatchWork.findRecoveredCall(id: CallId) {
    val entry = core.calls.getValue(id)
    putCall(entry.copy(phase = Phase.FINDING, phaseSinceMillis = nowMillis))
    when (val target = entry.target) {
        is Target.Tool -> queryNextToolServer(id)
        is Target.Model -> {
            val servers = core.routes.serversOf(target).map { it.server }
            if (servers.isEmpty()) return handleNotFound(id, "no server is configured for $target")
            effects += FindStream(id, servers)
            setTimer(id, nowMillis + settings.findStreamMillis, Timer.FindTimeout(id))
        }
    }
}

/** Queries the next server of the tool that was not queried yet. A tool without a status call can't be queried. */
private fun DispatchWork.queryNextToolServer(id: CallId) {
    val entry = core.calls.getValue(id)
    val target = entry.target as? Target.Tool ?: return
    val hasStatusCall = config.tools[target.tool]?.hasStatusCall == true
    val servers = core.routes.serversOf(target).map { it.server } - entry.triedServers
    val next = servers.firstOrNull { takesWork(it) } ?: servers.firstOrNull()
    if (!hasStatusCall || entry.call.key == null || next == null) {
        return handleNotFound(id, "the state of call $id can't be queried from tool ${target.tool}")
    }
    startResume(entry, next)
}

internal fun DispatchWork.handleStreamFound(event: StreamFound) {
    val entry = core.calls[event.call]?.takeIf { it.phase == Phase.FINDING } ?: return
    val server = event.server
    if (server == null) handleNotFound(event.call, "no engine has the stream") else startResume(entry, server)
}

/** Resumes a call at the server where it already occupies a slot, so no limit is checked. */
private fun DispatchWork.startResume(
    entry: CallEntry,
    server: ServerId,
) {
    val estimate =
        CandidateEstimate(
            server = server,
            queueMillis = 0.0,
            prefillMillis = 0.0,
            transferMillis = 0.0,
            distanceMillis = 0.0,
            weightsMillis = 0.0,
            interferenceMillis = 0.0,
            retryMillis = 0.0,
            cachedTokens = 0,
            runningCalls = viewOf(server).running.size,
            limit = config.servers[server]?.let { limitOf(it) } ?: 1,
            hasRoom = true,
        )
    startAttempt(entry, estimate, listOf(estimate), resume = true)
}

internal fun DispatchWork.handleFindTimeout(id: CallId) {
    if (core.calls[id]?.phase == Phase.FINDING) handleNotFound(id, "no engine reported in time whether it has the stream")
}

internal fun DispatchWork.retryToolQuery(id: CallId) {
    if (core.calls[id]?.phase == Phase.FINDING) queryNextToolServer(id)
}

private fun DispatchWork.handleNotFound(
    id: CallId,
    message: String,
) {
    val entry = core.calls.getValue(id)
    if (entry.call.repeatable && !entry.call.resumeOnly) {
        enqueue(id)
        startQueuedCalls(entry.target)
    } else {
        refuse(entry, RefusalReason.UNRESOLVED, message, null, RunOutcome.MAY_HAVE_RUN)
    }
}

internal fun DispatchWork.handleResumeFailure(
    entry: CallEntry,
    event: CallAttemptFailed,
) {
    val id = entry.call.call
    val isQuery = entry.target is Target.Tool
    when {
        event.failure == AttemptFailure.DEADLINE ->
            refuse(entry, RefusalReason.DEADLINE, event.message, null, RunOutcome.MAY_HAVE_RUN, entry.awaitedServer)
        isQuery -> {
            val unanswered = event.failure != AttemptFailure.UNKNOWN_STREAM && entry.attempts < settings.maxAttempts
            val tried = if (unanswered) entry.triedServers - setOfNotNull(entry.awaitedServer) else entry.triedServers
            putCall(entry.copy(phase = Phase.FINDING, awaitedServer = null, triedServers = tried))
            if (unanswered) setTimer(id, nowMillis + settings.serverBackoffMillis, Timer.ToolQueryRetry(id)) else queryNextToolServer(id)
        }
        entry.call.repeatable && !entry.call.resumeOnly && event.failure != AttemptFailure.UNKNOWN_STREAM ->
            retryOrRefuse(entry, event.failure, event.message)
        else -> handleNotFound(id, event.message)
    }
}
