package lavendertrail.settings

/** What is wrong with one setting, in one line that names key, value and what is allowed. */
public data class SettingProblem(
    public val key: String,
    public val value: String?,
    public val allowed: String,
) {
    override fun toString(): String = if (value == null) "$key: $allowed" else "$key = $value: $allowed"
}
