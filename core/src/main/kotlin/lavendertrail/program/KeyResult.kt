package lavendertrail.program

import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId

/** Durable outcome of the first call with a key, without its text. */
internal data class KeyResult(
    val outcome: RunOutcome,
    val refusal: RefusalReason?,
    val server: ServerId?,
) {
    companion object {
        private val answeredByNone = KeyResult(RunOutcome.RUN, null, null)

        fun answered(server: ServerId?): KeyResult = if (server == null) answeredByNone else KeyResult(RunOutcome.RUN, null, server)
    }
}
