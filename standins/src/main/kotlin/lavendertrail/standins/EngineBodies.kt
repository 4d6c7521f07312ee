package lavendertrail.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.model.CallId
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.ports.GenerateRequest
import lavendertrail.ports.Generated
import lavendertrail.reducer.CacheEvent
import lavendertrail.reducer.ServerLoad

/** Body of `POST /v1/chat/completions`. A request without the extension fields gets a generated call ID. */
@Serializable
internal data class EngineChatBody(
    val model: String,
    val messages: List<Message>,
    @SerialName("max_tokens")
    val maxTokens: Int = 256,
    val temperature: Double = 0.0,
    val lavendertrail: EngineCallFields = EngineCallFields(),
) {
    fun toRequest(): GenerateRequest =
        GenerateRequest(
            call = lavendertrail.call?.toCallId() ?: CallId(ProgramId("plain-000-${System.nanoTime()}"), 0),
            attempt = lavendertrail.attempt,
            model = ModelId(model),
            messages = messages,
            chainHashes = lavendertrail.chainHashes,
            maxTokens = maxTokens,
            temperature = temperature,
            priority = lavendertrail.priority,
            deadlineMillis = lavendertrail.deadlineMillis,
            idleLimitMillis = Long.MAX_VALUE,
            pinMillis = lavendertrail.pinMillis,
        )

    private fun String.toCallId(): CallId = CallId(ProgramId(substringBeforeLast('/')), substringAfterLast('/').toInt())
}

@Serializable
internal data class EngineCallFields(
    val call: String? = null,
    val attempt: Int = 1,
    val priority: Int = 0,
    val chainHashes: List<String> = emptyList(),
    val deadlineMillis: Long = Long.MAX_VALUE,
    val pinMillis: Long = 0,
)

/** The last event before `[DONE]`, or the event that reports an error. */
@Serializable
internal data class EngineLastChunk(
    val choices: List<EngineFinish> = emptyList(),
    val usage: EngineUsage? = null,
    val error: EngineError? = null,
    val lavendertrail: EngineAnswerFields? = null,
)

@Serializable
internal data class EngineFinish(
    val index: Int = 0,
    @SerialName("finish_reason")
    val finishReason: String = "stop",
)

@Serializable
internal data class EngineUsage(
    @SerialName("prompt_tokens")
    val promptTokens: Long,
    @SerialName("completion_tokens")
    val completionTokens: Long,
    @SerialName("prompt_tokens_details")
    val details: EnginePromptDetails,
)

@Serializable
internal data class EnginePromptDetails(
    @SerialName("cached_tokens")
    val cachedTokens: Long,
)

@Serializable
internal data class EngineError(
    val message: String,
    val type: String,
)

@Serializable
internal data class EngineAnswerFields(
    val engineMillis: Long,
    val load: ServerLoad?,
)

@Serializable
internal data class EngineEventsBody(
    val incarnation: String,
    val firstSequence: Long,
    val lastSequence: Long,
    val events: List<CacheEvent>,
)

@Serializable
internal data class EnginePinBody(
    val pinMillis: Long,
)

@Serializable
internal data class EnginePinsBody(
    val programs: List<String>,
)

@Serializable
internal data class EngineExportBody(
    val program: String,
)

@Serializable
internal data class EngineCacheBody(
    val program: String,
    val chainHashes: List<String>,
    val tokens: Long,
)

@Serializable
internal data class EngineLoadModelBody(
    val model: String,
    val fencingToken: Long,
)

internal fun Generated.toLastChunk(): EngineLastChunk =
    EngineLastChunk(
        choices = listOf(EngineFinish()),
        usage = EngineUsage(promptTokens, generatedTokens, EnginePromptDetails(cachedTokens)),
        lavendertrail = EngineAnswerFields(engineMillis, load),
    )
