package lavendertrail.model

import kotlinx.serialization.Serializable

/** Name under which callers ask for a model, such as `assist-model`. */
@JvmInline
@Serializable
public value class ModelId(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "ModelId must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
