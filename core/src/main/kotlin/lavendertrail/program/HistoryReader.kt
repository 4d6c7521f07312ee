package lavendertrail.program

import lavendertrail.history.HistoryPayload
import lavendertrail.history.HistoryRecord
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.CallResult
import lavendertrail.model.Message
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome

/**
 * Reads the acknowledged records of a program from the journal, in order and with their content.
 *
 * [ProgramsState] holds the texts of a program's most recent calls only ([ProgramSettings.maxRecentTextBytes]); the runner
 * passes a reader to [promptMessages] and [storedAnswer] for the older ones.
 */
public fun interface HistoryReader {
    public fun records(program: ProgramId): List<HistoryRecord>
}

/** The conversation in [records] of one program: the prompt of its next model call, without that call's own messages. */
public fun historyMessages(records: List<HistoryRecord>): List<Message> =
    finishedCalls(records).flatMap { call -> messagesOf(call.body, call.result) }

/**
 * The answer to a request for which the reducer emitted [lavendertrail.reducer.AnswerFromHistory], from the first
 * [recordCount] records of the program.
 */
public fun storedAnswer(
    reader: HistoryReader,
    call: CallId,
    bodySha256: String?,
    recordCount: Int,
): CallResult {
    val finished = finishedCalls(reader.records(call.program).take(recordCount)).lastOrNull { it.started.position == call.position }
    return when {
        finished == null -> {
            CallResult.Refused(historyRefusal(RunOutcome.NOT_RUN, RefusalReason.PROGRAM_ENDED, "$call is not in the program's history"))
        }

        bodySha256 != null && finished.started.bodySha256 != bodySha256 -> {
            val message = "position ${call.position} of ${call.program} is taken by another call"
            CallResult.Refused(historyRefusal(RunOutcome.NOT_RUN, RefusalReason.POSITION_TAKEN, message))
        }

        finished.started.kind == CallKind.SAME_KEY -> {
            storedAnswer(reader, parseCallId(finished.started.target), null, Int.MAX_VALUE)
        }

        else -> {
            finished.result
        }
    }
}

private fun historyRefusal(
    outcome: RunOutcome,
    reason: RefusalReason,
    message: String,
): Refusal = Refusal(outcome, reason, message, step = "history lookup")

private data class FinishedCall(
    val started: HistoryPayload.CallStarted,
    val body: CallBody?,
    val result: CallResult,
)

private fun finishedCalls(records: List<HistoryRecord>): List<FinishedCall> {
    val finished = mutableListOf<FinishedCall>()
    var started: Pair<HistoryPayload.CallStarted, String?>? = null
    for (record in records) {
        when (val payload = record.payload) {
            is HistoryPayload.CallStarted -> {
                started = payload to record.content
            }

            is HistoryPayload.CallFinished -> {
                started?.let { (call, content) -> finished += finishedCall(call, content, payload, record.content.orEmpty()) }
            }

            is HistoryPayload.Settled -> {
                val index = finished.indexOfLast { it.started.position == payload.position }
                if (index >= 0) finished[index] = finished[index].copy(result = resultOf(payload))
            }

            else -> {
                Unit
            }
        }
    }
    return finished
}

/** A call that repeats an idempotency key adds no messages: its answer is in the history of the first call with that key. */
private fun finishedCall(
    started: HistoryPayload.CallStarted,
    content: String?,
    finished: HistoryPayload.CallFinished,
    text: String,
): FinishedCall {
    val body = if (started.kind == CallKind.SAME_KEY) null else content?.let(::decodeBody)
    return FinishedCall(started, body, resultOf(finished, text))
}
