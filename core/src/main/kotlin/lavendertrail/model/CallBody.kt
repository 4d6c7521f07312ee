package lavendertrail.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The content of a call. */
@Serializable
public sealed interface CallBody {
    /** New [messages] are appended to the program's history, and the whole history is the prompt. */
    @Serializable
    @SerialName("model")
    public data class ModelCall(
        public val model: ModelId,
        public val messages: List<Message>,
        public val maxTokens: Int,
        public val temperature: Double = 0.0,
    ) : CallBody {
        init {
            require(maxTokens > 0) { "maxTokens must be positive, was $maxTokens" }
        }
    }

    /** A call of a tool or plain service that lavendertrail makes for the program. */
    @Serializable
    @SerialName("tool")
    public data class ToolCall(
        public val tool: ToolId,
        public val arguments: String,
    ) : CallBody

    /** The result of a tool that the caller ran itself; it is only recorded. */
    @Serializable
    @SerialName("toolResult")
    public data class ToolResult(
        public val tool: String,
        public val content: String,
    ) : CallBody
}
