package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.CallAttemptFailed
import lavendertrail.reducer.FindStream
import lavendertrail.reducer.StreamFound

/** Looks for the end of a call that a former owner node started. Nothing is sent again until the answer is known. */
internal fun DispatchWork.ask(id: CallId) {
    val entry = core.calls.getValue(id)
    put(entry.copy(phase = Phase.FINDING, sinceMillis = nowMillis))
    when (val target = entry.target) {
        is Target.Tool -> askTool(id)
        is Target.Model -> {
            val servers = core.routes.serversOf(target).map { it.server }
            if (servers.isEmpty()) return notFound(id, "no record names a server for $target")
            effects += FindStream(id, servers)
            setTimer(id, nowMillis + settings.findStreamMillis, Timer.FindEnd(id))
        }
    }
}

/** The next server of the tool that was not asked yet; a service without a status call can't tell. */
private fun DispatchWork.askTool(id: CallId) {
    val entry = core.calls.getValue(id)
    val target = entry.target as? Target.Tool ?: return
    val hasStatusCall = config.tools[target.tool]?.hasStatusCall == true
    val servers = core.routes.serversOf(target).map { it.server } - entry.triedServers
    val next = servers.firstOrNull { takesWork(it) } ?: servers.firstOrNull()
    if (!hasStatusCall || entry.call.key == null || next == null) return notFound(id, "the state of the call can't be asked for")
    resume(entry, next)
}

internal fun DispatchWork.streamFound(event: StreamFound) {
    val entry = core.calls[event.call]?.takeIf { it.phase == Phase.FINDING } ?: return
    val server = event.server
    if (server == null) notFound(event.call, "no engine has the stream") else resume(entry, server)
}

/** A resumed call takes a slot that it already holds at the server, so that no limit is checked. */
private fun DispatchWork.resume(
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
            runningCalls = view(server).running.size,
            limit = config.servers[server]?.let { limitOf(it) } ?: 1,
            hasRoom = true,
        )
    start(entry, estimate, listOf(estimate), resume = true)
}

internal fun DispatchWork.findEnded(id: CallId) {
    if (core.calls[id]?.phase == Phase.FINDING) notFound(id, "no engine answered whether it has the stream")
}

internal fun DispatchWork.askAgain(id: CallId) {
    if (core.calls[id]?.phase == Phase.FINDING) askTool(id)
}

private fun DispatchWork.notFound(
    id: CallId,
    message: String,
) {
    val entry = core.calls.getValue(id)
    if (entry.call.repeatable && !entry.call.resumeOnly) {
        enqueue(id)
        pump(entry.target)
    } else {
        refuse(entry, RefusalReason.UNRESOLVED, message, null, RunOutcome.MAY_HAVE_RUN)
    }
}

internal fun DispatchWork.resumeFailed(
    entry: CallEntry,
    event: CallAttemptFailed,
) {
    val id = entry.call.call
    val isQuery = entry.target is Target.Tool
    when {
        event.failure == AttemptFailure.DEADLINE ->
            refuse(entry, RefusalReason.DEADLINE, event.message, null, RunOutcome.MAY_HAVE_RUN, entry.waitsFor)
        isQuery -> {
            val unanswered = event.failure != AttemptFailure.UNKNOWN_STREAM && entry.attempts < settings.maxAttempts
            val tried = if (unanswered) entry.triedServers - setOfNotNull(entry.waitsFor) else entry.triedServers
            put(entry.copy(phase = Phase.FINDING, waitsFor = null, triedServers = tried))
            if (unanswered) setTimer(id, nowMillis + settings.serverBackoffMillis, Timer.AskAgain(id)) else askTool(id)
        }
        entry.call.repeatable && !entry.call.resumeOnly && event.failure != AttemptFailure.UNKNOWN_STREAM ->
            retryOrRefuse(entry, event.failure, event.message)
        else -> notFound(id, event.message)
    }
}
