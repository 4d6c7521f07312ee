package lavendertrail.model

import kotlinx.serialization.Serializable

/** An error with the [step] that failed and the [peer] at which it arose, such as `journal append` and `sohar-2`. */
@Serializable
public data class StepError(
    public val step: String,
    public val peer: String,
    public val message: String,
) {
    override fun toString(): String = "$step at $peer: $message"
}
