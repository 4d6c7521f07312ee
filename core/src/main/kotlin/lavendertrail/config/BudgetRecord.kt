package lavendertrail.config

import kotlinx.serialization.Serializable
import lavendertrail.model.Budget

/** Budget limits that several assistants and kinds of programs refer to by [name]. */
@Serializable
public data class BudgetRecord(
    public val name: String,
    public val maxTokens: Long,
    public val maxCostMicros: Long,
    public val maxTurns: Int,
    public val maxWallMillis: Long,
) {
    public fun toBudget(): Budget = Budget(maxTokens, maxCostMicros, maxTurns, maxWallMillis)
}
