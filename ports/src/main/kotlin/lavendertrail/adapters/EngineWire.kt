package lavendertrail.adapters

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.model.Message
import lavendertrail.reducer.CacheEvent
import lavendertrail.reducer.ServerLoad

/** Body of `POST /v1/chat/completions`. The fields in [lavendertrail] extend the published protocol. */
@Serializable
internal data class ChatBody(
    val model: String,
    val messages: List<Message>,
    @SerialName("max_tokens")
    val maxTokens: Int,
    val temperature: Double,
    val stream: Boolean = true,
    @SerialName("stream_options")
    val streamOptions: StreamOptions = StreamOptions(),
    val lavendertrail: CallFields,
)

@Serializable
internal data class StreamOptions(
    @SerialName("include_usage")
    val includeUsage: Boolean = true,
)

@Serializable
internal data class CallFields(
    val call: String,
    val program: String,
    val attempt: Int,
    val priority: Int,
    val chainHashes: List<String>,
    val deadlineMillis: Long,
    val pinMillis: Long,
)

/** One event of the answer's stream. */
@Serializable
internal data class ChatChunk(
    val choices: List<ChatChoice> = emptyList(),
    val usage: ChatUsage? = null,
    val error: ChatError? = null,
    val lavendertrail: AnswerFields? = null,
)

@Serializable
internal data class ChatChoice(
    val delta: ChatDelta = ChatDelta(),
)

@Serializable
internal data class ChatDelta(
    val content: String? = null,
)

@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens")
    val promptTokens: Long,
    @SerialName("completion_tokens")
    val completionTokens: Long,
    @SerialName("prompt_tokens_details")
    val details: PromptDetails = PromptDetails(),
)

@Serializable
internal data class PromptDetails(
    @SerialName("cached_tokens")
    val cachedTokens: Long = 0,
)

@Serializable
internal data class ChatError(
    val message: String,
    val type: String? = null,
)

@Serializable
internal data class AnswerFields(
    val engineMillis: Long = 0,
    val load: ServerLoad? = null,
)

@Serializable
internal data class CacheEventsBody(
    val incarnation: String,
    val firstSequence: Long,
    val lastSequence: Long,
    val events: List<CacheEvent>,
)

@Serializable
internal data class PinBody(
    val pinMillis: Long,
)

@Serializable
internal data class PinsBody(
    val programs: List<String>,
)

@Serializable
internal data class ExportBody(
    val program: String,
)

@Serializable
internal data class CacheBody(
    val program: String,
    val chainHashes: List<String>,
    val tokens: Long,
)

@Serializable
internal data class LoadModelBody(
    val model: String,
    val fencingToken: Long,
)
