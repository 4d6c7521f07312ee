package lavendertrail.dispatch

/** The exchangeable parts of a decision. [knowsTruth] lets a policy use hints about true cache contents. */
internal class DispatchPolicies(
    val rank: RankPolicy,
    val place: PlacementPolicy,
    val limit: LimitPolicy,
    val retry: RetryPolicy,
    val pause: PausePolicy,
    val usesCache: Boolean = true,
    val knowsTruth: Boolean = false,
)

private fun fifo(place: PlacementPolicy): DispatchPolicies =
    DispatchPolicies(fifoRank, place, configuredLimit, budgetedRetry, neverKeep, usesCache = false)

private val policiesByName: Map<String, DispatchPolicies> =
    mapOf(
        "programAware" to DispatchPolicies(programRank, estimatedPlacement, latencyLimit, budgetedRetry, learnedPause),
        "roundRobinFifo" to fifo(roundRobinPlacement),
        "leastLoadFifo" to fifo(leastLoadPlacement),
        "stickyFifo" to fifo(stickyPlacement),
        "clairvoyant" to
            DispatchPolicies(clairvoyantRank, estimatedPlacement, latencyLimit, budgetedRetry, learnedPause, knowsTruth = true),
    )

/** Names that `dispatch.policy` may have. */
public val dispatchPolicyNames: Set<String> get() = policiesByName.keys

internal fun dispatchPolicies(name: String): DispatchPolicies =
    requireNotNull(policiesByName[name]) { "dispatch.policy must be one of ${policiesByName.keys}, was '$name'" }
