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
 * The part of a [HistoryRecord] that both owners sharing the system ([lavendertrail.model.OwnerId]) may see: the event and its
 * usage, without any text of callers.
 */
@Serializable
public sealed interface HistoryPayload {
    @Serializable
    @SerialName("opened")
    public data class Opened(
        public val spec: ProgramSpec,
        public val parent: ProgramId? = null,
    ) : HistoryPayload

    /** Appended before a call is dispatched. Its content is the [lavendertrail.model.CallBody] as JSON. */
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

    /** Appended before the caller is answered. Its content is the answer's text, or the refusal as JSON. */
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

    /** An operator, or the status call of the tool's service, settled a call that may have run. */
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
