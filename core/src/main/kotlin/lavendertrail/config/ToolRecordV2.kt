package lavendertrail.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import lavendertrail.model.ServerId
import lavendertrail.model.ToolId

/** Version 2 of [ToolRecord]. [repeat] replaces `repeatable` and `hasStatusCall`, which could contradict each other. */
@Serializable
internal data class ToolRecordV2(
    val tool: ToolId,
    val servers: List<ServerId>,
    val repeat: RepeatRule,
    val timeoutMillis: Long = 30_000,
    val costMicros: Long = 0,
) {
    fun toRecord(): ToolRecord =
        ToolRecord(
            tool = tool,
            servers = servers,
            repeatable = repeat == RepeatRule.ALWAYS,
            hasStatusCall = repeat == RepeatRule.NEVER_BUT_STATUS,
            timeoutMillis = timeoutMillis,
            costMicros = costMicros,
        )
}

/** What may be done with a tool call whose outcome is not known. */
@Serializable
internal enum class RepeatRule {
    @SerialName("always")
    ALWAYS,

    @SerialName("never")
    NEVER,

    /** Never repeated, but the service reports the outcome of a call by its key. */
    @SerialName("neverButStatus")
    NEVER_BUT_STATUS,
}
