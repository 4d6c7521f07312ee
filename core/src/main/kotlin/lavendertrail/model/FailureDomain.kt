package lavendertrail.model

import kotlinx.serialization.Serializable

/** A group of hosts that can fail together, such as one data hall. */
@JvmInline
@Serializable
public value class FailureDomain(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "FailureDomain must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
