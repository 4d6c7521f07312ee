package lavendertrail.node

import lavendertrail.history.HistoryRecord
import lavendertrail.model.Refusal
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.program.HistoryReader
import lavendertrail.program.storedAnswer
import lavendertrail.reducer.AnswerCall
import lavendertrail.reducer.AnswerFromHistory
import lavendertrail.reducer.AnswerHistory
import lavendertrail.reducer.RefuseRequest

/** Answers requests from the journal where the reducer no longer keeps the records in memory. A history can be megabytes long. */
internal class HistoryResponder(
    private val owner: LocalOwner,
    private val historyReader: HistoryReader,
    private val background: BackgroundExecutor,
) {
    fun answer(effect: AnswerHistory): Unit =
        answerInBackground(effect.requestId, "history of ${effect.program}") {
            owner.answerHistory(effect.requestId, records(effect))
        }

    fun answer(effect: AnswerFromHistory): Unit =
        answerInBackground(effect.requestId, "stored outcome of ${effect.call}") {
            val result = storedAnswer(historyReader, effect.call, effect.bodySha256, effect.recordCount)
            owner.answer(AnswerCall(effect.requestId, effect.call, result))
        }

    private fun records(effect: AnswerHistory): List<HistoryRecord> =
        if (effect.records.size >= effect.recordCount) effect.records else historyReader.records(effect.program).take(effect.recordCount)

    private fun answerInBackground(
        requestId: Long,
        step: String,
        read: () -> Unit,
    ): Unit =
        background.run(step) {
            try {
                read()
            } catch (fault: IllegalStateException) {
                owner.refuse(RefuseRequest(requestId, historyUnavailable(step, fault)))
            }
        }

    private fun historyUnavailable(
        step: String,
        fault: IllegalStateException,
    ): Refusal =
        Refusal(
            outcome = RunOutcome.NOT_RUN,
            reason = RefusalReason.HISTORY_UNAVAILABLE,
            message = fault.message.orEmpty(),
            retryAfterMillis = RETRY_AFTER_MILLIS,
            step = step,
        )

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
