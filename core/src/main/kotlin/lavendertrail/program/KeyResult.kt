package lavendertrail.program

import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId

/** Durable outcome of the first call with an idempotency key, without the answer's text. */
internal data class KeyResult(
    val outcome: RunOutcome,
    val refusal: RefusalReason?,
    val server: ServerId?,
) {
    companion object {
        private val answeredWithoutServer = KeyResult(RunOutcome.RUN, null, null)

        fun answered(server: ServerId?): KeyResult = if (server == null) answeredWithoutServer else KeyResult(RunOutcome.RUN, null, server)
    }
}
