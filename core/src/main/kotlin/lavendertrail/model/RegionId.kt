package lavendertrail.model

import kotlinx.serialization.Serializable

/** A region; programs live in one region and never move to another. */
@JvmInline
@Serializable
public value class RegionId(
    public val value: String,
) {
    init {
        require(value.isNotBlank()) { "RegionId must not be blank, was '$value'" }
    }

    override fun toString(): String = value
}
