package lavendertrail.model

import kotlinx.serialization.Serializable

/** One call of a program, identified by its position in the program, which starts at 0. */
@Serializable
public data class CallId(
    public val program: ProgramId,
    public val position: Int,
) {
    init {
        require(position >= 0) { "position must not be negative, was $position" }
    }

    override fun toString(): String = "$program/$position"
}
