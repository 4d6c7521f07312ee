package lavendertrail.model

import kotlinx.serialization.Serializable

/** One of the companies that run the system jointly and split its bill. */
@JvmInline
@Serializable
public value class OwnerId(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "OwnerId must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
