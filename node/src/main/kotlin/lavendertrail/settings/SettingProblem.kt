package lavendertrail.settings

/** A problem of one setting. [toString] gives one line with the key, its value and a [message] that says what is allowed. */
public data class SettingProblem(
    public val key: String,
    public val value: String?,
    public val message: String,
) {
    override fun toString(): String = if (value == null) "$key: $message" else "$key = $value: $message"
}
