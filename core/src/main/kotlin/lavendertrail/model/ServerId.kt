package lavendertrail.model

import kotlinx.serialization.Serializable

/** Name of one backend server: a model engine, a tool service or a plain service. */
@JvmInline
@Serializable
public value class ServerId(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "ServerId must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
