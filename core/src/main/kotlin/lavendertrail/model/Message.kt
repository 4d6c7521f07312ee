package lavendertrail.model

import kotlinx.serialization.Serializable

/** One message of a conversation, in the format of chat-completion services. */
@Serializable
public data class Message(
    public val role: String,
    public val content: String,
)
