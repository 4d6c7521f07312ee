package lavendertrail.history

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.RefusalReason
import lavendertrail.model.RunOutcome
import lavendertrail.model.ServerId
import lavendertrail.model.Usage

/**
 * The part of a [HistoryRecord] that both owners may see: what happened and what it used, without any caller's text.
 */
@Serializable
public sealed interface HistoryPayload {
    @Serializable
    @SerialName("opened")
    public data class Opened(
        public val spec: ProgramSpec,
        public val parent: ProgramId? = null,
    ) : HistoryPayload

    /** Written before a call leaves. Its content is the [lavendertrail.model.CallBody] as JSON. */
    @Serializable
    @SerialName("callStarted")
    public data class CallStarted(
        public val position: Int,
        public val kind: String,
        public val target: String,
        public val bodySha256: String,
        public val repeatable: Boolean,
        public val key: String? = null,
        public val reservedTokens: Long,
        public val reservedCostMicros: Long,
        public val deadlineMillis: Long,
    ) : HistoryPayload

    /** Written before the answer is given to the caller. Its content is the answer's text. */
    @Serializable
    @SerialName("callFinished")
    public data class CallFinished(
        public val position: Int,
        public val outcome: RunOutcome,
        public val usage: Usage,
        public val server: ServerId? = null,
        public val attempts: Int = 1,
        public val refusal: RefusalReason? = null,
    ) : HistoryPayload

    /** An operator or the service's own status call settled a call that may have run. */
    @Serializable
    @SerialName("settled")
    public data class Settled(
        public val position: Int,
        public val outcome: RunOutcome,
        public val usage: Usage,
        public val settledBy: String,
    ) : HistoryPayload

    @Serializable
    @SerialName("childOpened")
    public data class ChildOpened(
        public val child: ProgramId,
    ) : HistoryPayload

    @Serializable
    @SerialName("ended")
    public data class Ended(
        public val reason: String,
        public val total: Usage,
    ) : HistoryPayload
}
