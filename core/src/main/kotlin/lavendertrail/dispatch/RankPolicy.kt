package lavendertrail.dispatch

import lavendertrail.model.AccountId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServiceClass
import lavendertrail.reducer.DispatchCall
import kotlin.math.ln

/** Input of a rank. [ancestors] has the services of the parent programs that the call blocks; it is empty if it blocks none. */
internal class RankQuery(
    val call: DispatchCall,
    val sequence: Long,
    val waitedMillis: Long,
    val nowMillis: Long,
    val service: ProgramService?,
    val ancestors: List<ProgramService>,
    val hint: CallHint?,
    val settings: DispatchSettings,
)

internal typealias RankPolicy = (RankQuery) -> RankKey

// Upper bound of the first level of attained service. Each further level ends at twice the bound of the previous one.
private const val FIRST_LEVEL_MILLIS = 1_000.0
private const val MAX_LEVEL = 16

/**
 * Orders by class, then by fair share of owners and accounts (see [QueueIndex]), then by attained service of the program
 * in exponential levels, then by age. A sub-agent that blocks its parent inherits the parent's class and level where they
 * are better. A call that has waited for [DispatchSettings.maxClassWaitMillis] moves to the overdue lane, which is ordered
 * by fair share and age only.
 */
internal val programRank: RankPolicy = { query -> programRankKey(query) { levelOf(it) } }

/** As [programRank], but where a hint gives the remaining time of the program, that time replaces the level. */
internal val clairvoyantRank: RankPolicy = { query ->
    val remaining = query.hint?.remainingMillis
    programRankKey(query) { service -> if (remaining == null) levelOf(service) else remaining.coerceAtMost(Int.MAX_VALUE.toLong()).toInt() }
}

/** Order of arrival across all owners, accounts and classes. */
internal val fifoRank: RankPolicy = { query ->
    RankKey(Lanes.FIRST_CLASS, ANY_OWNER, ANY_ACCOUNT, level = 0, order = query.sequence, shedClass = 0)
}

private val ANY_OWNER = OwnerId("*")
private val ANY_ACCOUNT = AccountId("*")

private inline fun programRankKey(
    query: RankQuery,
    levelOf: (ProgramService?) -> Int,
): RankKey {
    val call = query.call
    val services = query.ancestors + listOfNotNull(query.service)
    val serviceClass = services.minOfOrNull { it.serviceClass } ?: call.serviceClass
    val overdue = query.waitedMillis >= query.settings.maxClassWaitMillis
    val deadline = call.programDeadlineMillis
    val isDeadlineNear = deadline != null && deadline - query.nowMillis <= query.settings.nearDeadlineMillis
    val level = if (overdue || isDeadlineNear) -1 else services.minOfOrNull { levelOf(it) } ?: levelOf(null)
    val bestClass = minOf(serviceClass, call.serviceClass)
    return RankKey(
        lane = if (overdue) Lanes.OVERDUE else laneOf(bestClass),
        owner = call.owner,
        account = call.account,
        level = level,
        order = query.sequence,
        shedClass = bestClass.ordinal,
    )
}

internal fun laneOf(serviceClass: ServiceClass): Int = Lanes.FIRST_CLASS + serviceClass.ordinal

private fun levelOf(service: ProgramService?): Int {
    val attained = service?.attainedMillis ?: return 0
    return if (attained < FIRST_LEVEL_MILLIS) 0 else (ln(attained / FIRST_LEVEL_MILLIS) / ln(2.0)).toInt().coerceAtMost(MAX_LEVEL - 1) + 1
}
