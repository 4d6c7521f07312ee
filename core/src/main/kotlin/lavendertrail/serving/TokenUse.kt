package lavendertrail.serving

/** Tokens that one attempt of a turn has reserved, or, if [isSettled], has delivered to the caller. */
public data class TokenUse(
    val tokens: Int,
    val isSettled: Boolean,
) {
    public fun merge(other: TokenUse): TokenUse =
        when {
            isSettled == other.isSettled -> if (tokens >= other.tokens) this else other
            isSettled -> this
            else -> other
        }
}
