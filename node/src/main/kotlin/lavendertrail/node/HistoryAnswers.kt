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

/** Answers from the journal what the reducer no longer has in memory. A history may be megabytes long. */
internal class HistoryAnswers(
    private val owner: LocalOwner,
    private val texts: HistoryReader,
    private val background: BackgroundExecutor,
) {
    fun answer(effect: AnswerHistory): Unit =
        reading(effect.requestId, "history of ${effect.program}") {
            owner.answerHistory(effect.requestId, records(effect))
        }

    fun answer(effect: AnswerFromHistory): Unit =
        reading(effect.requestId, "stored outcome of ${effect.call}") {
            val result = storedAnswer(texts, effect.call, effect.bodySha256, effect.recordCount)
            owner.answer(AnswerCall(effect.requestId, effect.call, result))
        }

    private fun records(effect: AnswerHistory): List<HistoryRecord> =
        if (effect.records.size >= effect.recordCount) effect.records else texts.records(effect.program).take(effect.recordCount)

    private fun reading(
        requestId: Long,
        step: String,
        read: () -> Unit,
    ): Unit =
        background.run(step) {
            try {
                read()
            } catch (fault: IllegalStateException) {
                owner.refuse(RefuseRequest(requestId, unreadable(step, fault)))
            }
        }

    private fun unreadable(
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
