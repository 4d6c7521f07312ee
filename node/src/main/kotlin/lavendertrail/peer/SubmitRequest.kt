package lavendertrail.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.model.CallId
import lavendertrail.model.CallRequest
import lavendertrail.model.ProgramId
import lavendertrail.model.ProgramSpec
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage

/** A request of a caller or operator, forwarded to the node that owns the program. */
@Serializable
public sealed interface SubmitRequest {
    public val program: ProgramId

    @Serializable
    @SerialName("open")
    public data class Open(
        override val program: ProgramId,
        public val spec: ProgramSpec,
    ) : SubmitRequest

    @Serializable
    @SerialName("openChild")
    public data class OpenChild(
        override val program: ProgramId,
        public val childNumber: Int,
        public val spec: ProgramSpec,
    ) : SubmitRequest

    /** Text before byte [fromByte] of the answer is not sent again. If [stream] is false, only the final result is sent. */
    @Serializable
    @SerialName("call")
    public data class Call(
        public val request: CallRequest,
        public val fromByte: Long = 0,
        public val stream: Boolean = true,
    ) : SubmitRequest {
        override val program: ProgramId get() = request.call.program
    }

    @Serializable
    @SerialName("end")
    public data class End(
        override val program: ProgramId,
        public val reason: String,
    ) : SubmitRequest

    @Serializable
    @SerialName("history")
    public data class History(
        override val program: ProgramId,
    ) : SubmitRequest

    @Serializable
    @SerialName("settle")
    public data class Settle(
        public val call: CallId,
        public val outcome: RunOutcome,
        public val usage: Usage,
        public val settledBy: String,
    ) : SubmitRequest {
        override val program: ProgramId get() = call.program
    }
}
