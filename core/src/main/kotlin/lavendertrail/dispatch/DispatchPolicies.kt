package lavendertrail.dispatch

/** The replaceable parts of a dispatch policy. With [usesOracleHints] it uses the [CallHint]s, such as true cache contents. */
internal class DispatchPolicies(
    val rank: RankPolicy,
    val place: PlacementPolicy,
    val limit: LimitPolicy,
    val retry: RetryPolicy,
    val pause: PausePolicy,
    val usesCache: Boolean = true,
    val usesOracleHints: Boolean = false,
)

private fun fifoBaseline(place: PlacementPolicy): DispatchPolicies =
    DispatchPolicies(fifoRank, place, configuredLimit, budgetedRetry, noPauseAction, usesCache = false)

private val policiesByName: Map<String, DispatchPolicies> =
    mapOf(
        "programAware" to DispatchPolicies(programRank, leastEstimatePlacement, latencyBasedLimit, budgetedRetry, adaptivePause),
        "roundRobinFifo" to fifoBaseline(roundRobinPlacement),
        "leastLoadFifo" to fifoBaseline(leastLoadPlacement),
        "stickyFifo" to fifoBaseline(stickyPlacement),
        "clairvoyant" to
            DispatchPolicies(
                clairvoyantRank,
                leastEstimatePlacement,
                latencyBasedLimit,
                budgetedRetry,
                adaptivePause,
                usesOracleHints = true,
            ),
    )

/** Valid values of the `dispatch.policy` setting. */
public val dispatchPolicyNames: Set<String> get() = policiesByName.keys

internal fun dispatchPolicies(name: String): DispatchPolicies =
    requireNotNull(policiesByName[name]) { "dispatch.policy must be one of ${policiesByName.keys}, was '$name'" }
