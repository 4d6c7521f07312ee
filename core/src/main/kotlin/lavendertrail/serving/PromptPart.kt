package lavendertrail.serving

/** A part of a prompt that several requests may share. Parts are cached by engines under their [id]. */
public data class PromptPart(
    val id: String,
    val tokens: Int,
)
