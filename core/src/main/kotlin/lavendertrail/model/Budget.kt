package lavendertrail.model

import kotlinx.serialization.Serializable

/** Upper limits of a whole program tree, sub-agents included. */
@Serializable
public data class Budget(
    public val maxTokens: Long,
    public val maxCostMicros: Long,
    public val maxTurns: Int,
    public val maxWallMillis: Long,
) {
    init {
        require(maxTokens > 0) { "maxTokens must be positive, was $maxTokens" }
        require(maxCostMicros > 0) { "maxCostMicros must be positive, was $maxCostMicros" }
        require(maxTurns > 0) { "maxTurns must be positive, was $maxTurns" }
        require(maxWallMillis > 0) { "maxWallMillis must be positive, was $maxWallMillis" }
    }
}
