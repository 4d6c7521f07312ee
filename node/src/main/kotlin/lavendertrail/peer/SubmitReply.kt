package lavendertrail.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.history.HistoryRecord
import lavendertrail.model.CallResult
import lavendertrail.model.ProgramId
import lavendertrail.model.Refusal
import lavendertrail.model.Usage

/** Reply of the owner node. A stream consists of any number of [Text] replies and exactly one final reply of another type. */
@Serializable
public sealed interface SubmitReply {
    /** Answer text that starts at byte [offsetBytes] of the whole answer in UTF-8. */
    @Serializable
    @SerialName("text")
    public data class Text(
        public val offsetBytes: Long,
        public val text: String,
    ) : SubmitReply

    @Serializable
    @SerialName("call")
    public data class Call(
        public val result: CallResult,
    ) : SubmitReply

    @Serializable
    @SerialName("opened")
    public data class Opened(
        public val program: ProgramId,
    ) : SubmitReply

    @Serializable
    @SerialName("ended")
    public data class Ended(
        public val total: Usage,
    ) : SubmitReply

    @Serializable
    @SerialName("history")
    public data class History(
        public val records: List<HistoryRecord>,
    ) : SubmitReply

    @Serializable
    @SerialName("refused")
    public data class Refused(
        public val refusal: Refusal,
    ) : SubmitReply
}
