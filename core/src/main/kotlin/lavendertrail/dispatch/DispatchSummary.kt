package lavendertrail.dispatch

import kotlinx.serialization.Serializable
import lavendertrail.membership.AccountShare
import lavendertrail.model.AccountId
import lavendertrail.model.CallId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServerId
import lavendertrail.model.ServiceClass
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PoisonMark
import lavendertrail.reducer.Tick
import lavendertrail.reducer.TimedEvent

/** State of dispatch for the node's dump. Its size depends on the number of targets and servers, not on that of calls. */
@Serializable
public data class DispatchSummary(
    public val policy: String,
    public val queuedCalls: Int,
    public val queuedByTarget: Map<String, Map<String, Int>>,
    public val callsByPhase: Map<String, Int>,
    public val servers: List<ServerSummary>,
    public val blockedAccounts: List<AccountId>,
    public val poisonMarks: List<PoisonMark>,
    public val retryBudgetSpentPercent: Long,
    public val controllerEpoch: Long?,
)

@Serializable
public data class ServerSummary(
    public val server: ServerId,
    public val takesWork: Boolean,
    public val runningCalls: Int,
    public val limit: Int,
    public val estimatedRunningCalls: Int,
    public val loadAgeMillis: Long?,
    public val cacheFillPercent: Int,
    public val knownCachedTokens: Long,
    public val heldCalls: Int,
    public val isolatedBy: CallId?,
    public val backoffMillis: Long,
)

/** The latest placements of [program]'s calls with the estimates behind them, oldest first. */
public fun NodeState.placementsOf(program: ProgramId): List<PlacementNote> = dispatch.core.placements[program].orEmpty()

// Limits each list in a probe to 64 entries of about 100 bytes, so that the probes, several per second, don't exceed the traffic that
// a node may use for control messages.
private const val MAX_PROBE_ENTRIES = 64

/** Running and waiting calls per account at this node, busiest first. Other nodes compute their part of the limit from them. */
public fun NodeState.accountShares(): List<AccountShare> {
    val core = dispatch.core
    val accounts = core.accountUse.runningAccounts().keys + core.queue.waitingAccounts().keys
    return accounts
        .map { AccountShare(it.value, core.accountUse.runningOf(it), core.queue.waitingOf(it)) }
        .sortedWith(compareByDescending<AccountShare> { it.runningCalls + it.waitingCalls }.thenBy { it.account })
        .take(MAX_PROBE_ENTRIES)
}

/** The most recent crash counts, to be sent to other nodes. */
public fun NodeState.poisonMarks(nowMillis: Long): List<PoisonMark> =
    dispatch.core.poison
        .marks(nowMillis, settings.dispatch.poisonExpiryMillis)
        .sortedByDescending { it.lastCrashMillis }
        .take(MAX_PROBE_ENTRIES)

public fun NodeState.dispatchSummary(nowMillis: Long): DispatchSummary {
    val work = DispatchWork(this, TimedEvent(nowMillis, seed = 0, Tick))
    val core = work.core
    return DispatchSummary(
        policy = settings.dispatch.policy,
        queuedCalls = core.queue.size,
        queuedByTarget =
            core.queue.targets().associate { target ->
                target.toString() to (0 until Lanes.COUNT).associate { laneName(it) to core.queue.sizeOf(target, it) }
            },
        callsByPhase =
            core.calls.values
                .groupingBy { it.phase.name.lowercase() }
                .eachCount(),
        servers = core.servers.map { (server, view) -> summaryOf(work, server, view) }.sortedBy { it.server.value },
        blockedAccounts = core.accountUse.blockedAccounts.sortedBy { it.value },
        poisonMarks = poisonMarks(nowMillis),
        retryBudgetSpentPercent = core.retryBudget.spentPercent,
        controllerEpoch = controllerEpoch(this),
    )
}

private fun summaryOf(
    work: DispatchWork,
    server: ServerId,
    view: ServerView,
): ServerSummary {
    val record = work.config.servers[server]
    return ServerSummary(
        server = server,
        takesWork = work.takesWork(server),
        runningCalls = view.running.size,
        limit = record?.let { work.limitOf(it) } ?: 0,
        estimatedRunningCalls = view.estimatedRunning(work.nowMillis, work.settings.staleLoadMillis),
        loadAgeMillis = if (view.load == null) null else work.nowMillis - view.loadReceivedMillis,
        cacheFillPercent = record?.let { view.cacheFillPercent(it) } ?: 0,
        knownCachedTokens = work.core.prefixCache.knownTokens(server),
        heldCalls = view.heldCalls.size,
        isolatedBy = view.isolatedBy,
        backoffMillis = (view.backoffUntilMillis - work.nowMillis).coerceAtLeast(0),
    )
}

internal fun laneName(lane: Int): String =
    if (lane ==
        Lanes.OVERDUE
    ) {
        "overdue"
    } else {
        ServiceClass.entries[lane - Lanes.FIRST_CLASS].name.lowercase()
    }
