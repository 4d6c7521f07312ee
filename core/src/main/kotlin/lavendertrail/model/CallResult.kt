package lavendertrail.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The final outcome of a call. */
@Serializable
public sealed interface CallResult {
    /** The complete answer. [server] is null for a recorded tool result. */
    @Serializable
    @SerialName("answered")
    public data class Answered(
        public val text: String,
        public val usage: Usage,
        public val server: ServerId? = null,
    ) : CallResult

    @Serializable
    @SerialName("refused")
    public data class Refused(
        public val refusal: Refusal,
    ) : CallResult
}
