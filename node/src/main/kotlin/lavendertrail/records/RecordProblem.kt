package lavendertrail.records

import kotlinx.serialization.Serializable

/** A violation for which a configuration record is rejected: the [value] at [path], and what is [allowed] there. */
@Serializable
public data class RecordProblem(
    public val path: String,
    public val value: String,
    public val allowed: String,
) {
    override fun toString(): String = "$path is $value, allowed: $allowed"
}
