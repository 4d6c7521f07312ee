package lavendertrail.model

import kotlinx.serialization.Serializable

/** A client account of an owner. Callers act for one account. */
@JvmInline
@Serializable
public value class AccountId(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "AccountId must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
