package lavendertrail.dispatch

import lavendertrail.model.AccountId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServiceClass
import lavendertrail.reducer.DispatchCall
import kotlin.math.ln

/** What a rank is computed from. [parents] are the ancestors' services, where the call blocks them. */
internal class RankQuery(
    val call: DispatchCall,
    val sequence: Long,
    val waitedMillis: Long,
    val nowMillis: Long,
    val own: ProgramService?,
    val parents: List<ProgramService>,
    val hint: CallHint?,
    val settings: DispatchSettings,
)

internal typealias RankPolicy = (RankQuery) -> RankKey

// The first level of attained service ends here, each further one at twice the end of the one before.
private const val FIRST_LEVEL_MILLIS = 1_000.0
private const val MAX_LEVEL = 16

/**
 * Class, then fair share of owners and accounts (by [QueueIndex]), then attained service of the program in exponential
 * steps, then age. A sub-agent that blocks its parent has the parent's class and level where they are better. A call
 * that waited [DispatchSettings.maxClassWaitMillis] goes to the overdue lane, in which only fair share and age count.
 */
internal val programRank: RankPolicy = { query -> programRankKey(query) { levelOf(it) } }

/** Shortest remaining program first where a hint tells it; otherwise as [programRank]. */
internal val clairvoyantRank: RankPolicy = { query ->
    val remaining = query.hint?.remainingMillis
    programRankKey(query) { service -> if (remaining == null) levelOf(service) else remaining.coerceAtMost(Int.MAX_VALUE.toLong()).toInt() }
}

/** Order of arrival over all calls. */
internal val fifoRank: RankPolicy = { query ->
    RankKey(Lanes.FIRST_CLASS, EVERY_OWNER, EVERY_ACCOUNT, level = 0, order = query.sequence, shedClass = 0)
}

private val EVERY_OWNER = OwnerId("*")
private val EVERY_ACCOUNT = AccountId("*")

private inline fun programRankKey(
    query: RankQuery,
    levelOf: (ProgramService?) -> Int,
): RankKey {
    val call = query.call
    val ranks = query.parents + listOfNotNull(query.own)
    val serviceClass = ranks.minOfOrNull { it.serviceClass } ?: call.serviceClass
    val overdue = query.waitedMillis >= query.settings.maxClassWaitMillis
    val deadline = call.programDeadlineMillis
    val isNear = deadline != null && deadline - query.nowMillis <= query.settings.nearDeadlineMillis
    val level = if (overdue || isNear) -1 else ranks.minOfOrNull { levelOf(it) } ?: levelOf(null)
    val best = minOf(serviceClass, call.serviceClass)
    return RankKey(
        lane = if (overdue) Lanes.OVERDUE else laneOf(best),
        owner = call.owner,
        account = call.account,
        level = level,
        order = query.sequence,
        shedClass = best.ordinal,
    )
}

internal fun laneOf(serviceClass: ServiceClass): Int = Lanes.FIRST_CLASS + serviceClass.ordinal

private fun levelOf(service: ProgramService?): Int {
    val attained = service?.attainedMillis ?: return 0
    return if (attained < FIRST_LEVEL_MILLIS) 0 else (ln(attained / FIRST_LEVEL_MILLIS) / ln(2.0)).toInt().coerceAtMost(MAX_LEVEL - 1) + 1
}
