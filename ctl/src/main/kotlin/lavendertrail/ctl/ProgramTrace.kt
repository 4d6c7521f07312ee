package lavendertrail.ctl

import lavendertrail.dispatch.CandidateEstimate
import lavendertrail.dispatch.PlacementNote
import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.Usage
import lavendertrail.program.CallSummary

/** The history of one program: its records from the journal, and the call times and placements that its owner node remembers. */
internal class ProgramTrace(
    val program: String,
    val ownerNode: String?,
    val calls: List<CallSummary>,
    val placements: List<PlacementNote>,
    val records: List<HistoryRecord>,
)

private class TimelineLine(
    val atMillis: Long,
    val text: String,
)

/** A gap between two calls that is at least this long is shown as a pause. */
private const val MIN_PAUSE_MILLIS = 100

/** Formats the timeline. Times are in milliseconds since the program was opened. */
internal fun ProgramTrace.timeline(): List<String> {
    val start = records.firstOrNull()?.atMillis ?: calls.firstOrNull()?.submittedMillis ?: 0
    val lines =
        records.map { it.toTimelineLine() } + handovers() + placements.map { it.toTimelineLine() } +
            calls.map { it.toTimelineLine() } + pauses()
    val formatted = lines.sortedBy { it.atMillis }.map { "%+9d ms  %s".format(it.atMillis - start, it.text) }
    return listOf("program $program, owner node ${ownerNode ?: "unknown"}") + formatted + totalLine()
}

private fun ProgramTrace.totalLine(): String {
    val used = records.mapNotNull { (it.payload as? HistoryPayload.CallFinished)?.usage }.fold(Usage()) { sum, usage -> sum + usage }
    val percent = if (used.promptTokens == 0L) 0 else used.cachedTokens * 100 / used.promptTokens
    return "total: ${used.describe()}, cache hits $percent %"
}

private fun Usage.describe(): String =
    "prompt $promptTokens tokens, cached $cachedTokens, generated $generatedTokens, tool calls $toolCalls, cost $costMicros micros"

private fun HistoryRecord.toTimelineLine(): TimelineLine =
    TimelineLine(
        atMillis,
        when (val record = payload) {
            is HistoryPayload.Opened ->
                "opened for ${record.spec.owner}/${record.spec.account}" +
                    (record.parent?.let { ", sub-agent of $it" } ?: "")
            is HistoryPayload.CallStarted ->
                "call ${record.position} started: ${record.kind} ${record.target}, reserved ${record.reservedTokens} tokens and " +
                    "${record.reservedCostMicros} micros" + (record.key?.let { ", key $it" } ?: "")
            is HistoryPayload.CallFinished -> record.describe()
            is HistoryPayload.ChildOpened -> "sub-agent ${record.child} opened"
            is HistoryPayload.Settled ->
                "call ${record.position} settled by ${record.settledBy}: ${record.outcome}, ${record.usage.describe()}"
            is HistoryPayload.Ended -> "ended: ${record.reason}, ${record.total.describe()}"
        },
    )

private fun HistoryPayload.CallFinished.describe(): String {
    val refused = refusal
    val serverText = server?.let { " on $it" } ?: ""
    val attemptsText = if (attempts > 1) " after $attempts attempts" else ""
    val result = if (refused == null) outcome.toString() else "refused as $refused, $outcome"
    return "call $position finished$serverText$attemptsText: $result, ${usage.describe()}"
}

private fun ProgramTrace.handovers(): List<TimelineLine> =
    records.zipWithNext().filter { (before, after) -> after.epoch != before.epoch }.map { (before, after) ->
        TimelineLine(after.atMillis, "handed over to another owner, epoch ${before.epoch} -> ${after.epoch}")
    }

private fun PlacementNote.toTimelineLine(): TimelineLine {
    val others = estimates.filter { it.server != server }.joinToString(", ") { "${it.server} ${it.describe()}" }
    val chosen = estimates.find { it.server == server }?.let { " ${it.describe()}" } ?: ""
    val notes = listOfNotNull("isolated".takeIf { isolated }, "resumed".takeIf { resumed }).joinToString("") { ", $it" }
    return TimelineLine(
        atMillis,
        "call ${call.position} attempt $attempt sent to $server after $waitedMillis ms in lane $lane$notes:$chosen" +
            if (others.isEmpty()) "" else "; others: $others",
    )
}

private fun CandidateEstimate.describe(): String {
    val importText = transferFrom?.let { ", imports its cache from $it" } ?: ""
    return "(estimate %.1f ms: queue %.1f, prefill %.1f, cached %d tokens%s)".format(
        java.util.Locale.ROOT,
        totalMillis,
        queueMillis,
        prefillMillis,
        cachedTokens,
        importText,
    )
}

private fun CallSummary.toTimelineLine(): TimelineLine {
    val progress =
        listOfNotNull(
            durableMillis?.let { "durable after ${it - submittedMillis} ms" },
            dispatchedMillis?.let { "sent after ${it - submittedMillis} ms" },
            finishedMillis?.let { "finished after ${it - submittedMillis} ms" },
        ).joinToString(", ").ifEmpty { "phase $phase" }
    val refusedText = refusal?.let { ", refused as $it" } ?: ""
    val resumedText = if (recovered) ", taken over" else ""
    return TimelineLine(submittedMillis, "call ${call.position} submitted: $kind $target, $progress$refusedText$resumedText")
}

/** Gaps between the end of a call and the next one, in which the program waited for its caller or for a tool that the caller runs. */
private fun ProgramTrace.pauses(): List<TimelineLine> {
    val ended = records.filter { it.payload is HistoryPayload.CallFinished }
    return ended.mapNotNull { record ->
        val next =
            records.getOrNull(records.indexOf(record) + 1)?.takeIf { it.payload is HistoryPayload.CallStarted } ?: return@mapNotNull null
        val millis = next.atMillis - record.atMillis
        if (millis < MIN_PAUSE_MILLIS) null else TimelineLine(record.atMillis, "pause of $millis ms before the next call")
    }
}
