package lavendertrail.model

import kotlinx.serialization.Serializable

/** Name under which programs call a tool or plain service. */
@JvmInline
@Serializable
public value class ToolId(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "ToolId must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
