package lavendertrail.serving

/**
 * Tokens of a program by attempt. An attempt first reserves its maximum and is later settled at what the caller received.
 *
 * Copies on several hosts are merged by attempt, in any order. A settled entry replaces a reserved one, so a host that
 * missed messages never lowers a program's usage.
 */
public data class BudgetTally(
    val entries: Map<String, TokenUse> = emptyMap(),
) {
    public val totalTokens: Long get() = entries.values.sumOf { it.tokens.toLong() }

    public fun merge(other: BudgetTally): BudgetTally {
        if (entries.isEmpty()) return other
        val merged = entries.toMutableMap()
        for ((attempt, use) in other.entries) merged.merge(attempt, use, TokenUse::merge)
        return BudgetTally(merged)
    }

    /** Whether the sum of reserved and settled tokens is within [budgetTokens]. */
    public fun allows(budgetTokens: Int): Boolean = totalTokens <= budgetTokens
}
