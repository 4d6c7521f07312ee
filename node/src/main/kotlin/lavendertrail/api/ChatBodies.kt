package lavendertrail.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import lavendertrail.model.Message
import lavendertrail.model.RunOutcome
import lavendertrail.model.Usage

/** Body of `POST /v1/chat/completions`; [lavendertrail] gives the program and position of the call. */
@Serializable
internal data class ChatBody(
    val model: String,
    val messages: List<Message>,
    @SerialName("max_tokens") val maxTokens: Int = 256,
    val temperature: Double = 0.0,
    val stream: Boolean = false,
    val lavendertrail: ChatExtension,
    val user: String? = null,
    @SerialName("stream_options") val streamOptions: JsonElement? = null,
)

/** Program, position and retry properties of a call. [deadlineMillis] is an absolute time in milliseconds since the epoch. */
@Serializable
internal data class ChatExtension(
    val program: String,
    val position: Int,
    val repeatable: Boolean = true,
    val key: String? = null,
    @SerialName("deadline_millis") val deadlineMillis: Long? = null,
)

@Serializable
internal data class ChatAnswer(
    val id: String,
    @SerialName("object") val type: String,
    val model: String,
    val choices: List<ChatChoice>,
    val usage: ChatUsage? = null,
    val lavendertrail: ChatOutcome? = null,
)

@Serializable
internal data class ChatChoice(
    val index: Int = 0,
    val message: Message? = null,
    val delta: ChatDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class ChatDelta(
    val content: String? = null,
)

@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("completion_tokens") val completionTokens: Long,
    @SerialName("total_tokens") val totalTokens: Long,
    @SerialName("prompt_tokens_details") val promptDetails: ChatPromptDetails,
)

@Serializable
internal data class ChatPromptDetails(
    @SerialName("cached_tokens") val cachedTokens: Long,
)

/**
 * Outcome of a call, sent in the last event of a stream and in every non-streamed response. Size and hash let the caller check
 * the text that it received.
 */
@Serializable
internal data class ChatOutcome(
    val program: String,
    val position: Int,
    val outcome: RunOutcome,
    val server: String? = null,
    @SerialName("cost_micros") val costMicros: Long,
    @SerialName("text_bytes") val textBytes: Int,
    @SerialName("text_sha256") val textSha256: String,
)

internal fun Usage.toChatUsage(): ChatUsage = ChatUsage(promptTokens, generatedTokens, totalTokens, ChatPromptDetails(cachedTokens))
