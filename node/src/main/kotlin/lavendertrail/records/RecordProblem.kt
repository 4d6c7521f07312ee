package lavendertrail.records

import kotlinx.serialization.Serializable

/** One reason why a configuration record is refused: the value at [path] and what is [allowed] there. */
@Serializable
public data class RecordProblem(
    public val path: String,
    public val value: String,
    public val allowed: String,
) {
    override fun toString(): String = "$path is $value, allowed: $allowed"
}
