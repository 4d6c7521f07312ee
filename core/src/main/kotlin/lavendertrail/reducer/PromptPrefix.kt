package lavendertrail.reducer

import kotlinx.serialization.Serializable

/** A prompt up to and including one message: [chainHash] identifies its content, [tokens] is its estimated length. */
@Serializable
public data class PromptPrefix(
    public val chainHash: String,
    public val tokens: Int,
)
