package lavendertrail.model

import kotlinx.serialization.Serializable

/** What one call, or a sum of calls, consumed. [cachedTokens] is the part of [promptTokens] that an engine had cached. */
@Serializable
public data class Usage(
    public val promptTokens: Long = 0,
    public val cachedTokens: Long = 0,
    public val generatedTokens: Long = 0,
    public val engineMillis: Long = 0,
    public val cacheTokenMillis: Long = 0,
    public val toolCalls: Long = 0,
    public val costMicros: Long = 0,
) {
    public val totalTokens: Long get() = promptTokens + generatedTokens

    public operator fun plus(other: Usage): Usage =
        Usage(
            promptTokens = promptTokens + other.promptTokens,
            cachedTokens = cachedTokens + other.cachedTokens,
            generatedTokens = generatedTokens + other.generatedTokens,
            engineMillis = engineMillis + other.engineMillis,
            cacheTokenMillis = cacheTokenMillis + other.cacheTokenMillis,
            toolCalls = toolCalls + other.toolCalls,
            costMicros = costMicros + other.costMicros,
        )
}
