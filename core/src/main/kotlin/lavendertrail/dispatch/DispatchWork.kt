package lavendertrail.dispatch

import lavendertrail.config.ConfigState
import lavendertrail.config.ServerKind
import lavendertrail.config.ServerRecord
import lavendertrail.model.AccountId
import lavendertrail.model.CallId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServerId
import lavendertrail.reducer.Effect
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PollLoad
import lavendertrail.reducer.Signal
import lavendertrail.reducer.Step
import lavendertrail.reducer.TimedEvent
import kotlin.random.Random

// Values for an owner or account without a record; the same as the defaults of a record.
private const val DEFAULT_ACCOUNT_LIMIT = 64
private const val DEFAULT_WEIGHT = 1

/** Mutable state of one reducer step. It doesn't outlive the step, so [reduceDispatch] is a pure function. */
internal class DispatchWork(
    private val state: NodeState,
    timed: TimedEvent,
) {
    val nowMillis: Long = timed.nowMillis
    val settings: DispatchSettings = state.settings.dispatch
    val config: ConfigState = state.config
    val node: NodeState get() = state
    val policies: DispatchPolicies = dispatchPolicies(settings.policy)
    val effects: MutableList<Effect> = mutableListOf()
    val signals: MutableList<Signal> = mutableListOf()
    var core: DispatchCore = state.dispatch.core
    private val random by lazy(LazyThreadSafetyMode.NONE) { Random(timed.seed) }

    init {
        if (!core.routes.isDerivedFrom(config)) core = core.copy(routes = routeTable(config, state.self))
    }

    fun nextRandom(): Double = random.nextDouble()

    fun toStep(): Step =
        if (core === state.dispatch.core) {
            Step(state, effects, signals)
        } else {
            Step(state.copy(dispatch = DispatchState(core)), effects, signals)
        }

    fun viewOf(server: ServerId): ServerView = core.servers[server] ?: ServerView()

    inline fun updateView(
        server: ServerId,
        change: (ServerView) -> ServerView,
    ) {
        core = core.copy(servers = core.servers.put(server, change(viewOf(server))))
    }

    fun putCall(entry: CallEntry) {
        core = core.copy(calls = core.calls.put(entry.call.call, entry))
    }

    fun setTimer(
        dueMillis: Long,
        timer: Timer,
    ): TimerKey {
        val key = TimerKey(dueMillis, core.nextTimerNumber)
        core = core.copy(nextTimerNumber = core.nextTimerNumber + 1, timers = core.timers.put(key, timer))
        return key
    }

    /** Sets a timer that is removed when the call finishes. */
    fun setTimer(
        call: CallId,
        dueMillis: Long,
        timer: Timer,
    ) {
        val key = setTimer(dueMillis, timer)
        val entry = core.calls[call] ?: return
        putCall(entry.copy(timers = entry.timers + key))
    }

    fun removeTimers(entry: CallEntry) {
        core = core.copy(timers = entry.timers.fold(core.timers) { tree, key -> tree.remove(key) })
    }

    /** True unless the server is leaving, unreachable, or missing from the host list. */
    fun takesWork(server: ServerId): Boolean {
        val hosts = core.hosts
        val view = core.servers[server]
        return (hosts == null || hosts.takesWork(server)) && (view == null || (view.reachable && view.load?.leaving != true))
    }

    fun limitOf(record: ServerRecord): Int {
        val limit = viewOf(record.server).limit
        // Tool calls have no time to first token to adapt to, so tool servers start at their configured maximum.
        return if (record.kind != ServerKind.ENGINE && limit.calls == null) {
            record.maxRunningCalls.coerceAtLeast(1)
        } else {
            policies.limit.callLimitOf(limit, record.maxRunningCalls)
        }
    }

    fun hasRoom(record: ServerRecord): Boolean {
        val view = viewOf(record.server)
        if (view.isolatedBy != null || view.hasUnresolvedLoss || view.backoffUntilMillis > nowMillis) return false
        if (view.running.size >= limitOf(record) || prefillQueueMillis(record, view) > settings.maxPrefillQueueMillis) return false
        // This node may always run one call, so that calls of other nodes in the load report can't exclude it entirely.
        return view.running.isEmpty() || view.estimatedRunning(nowMillis, settings.staleLoadMillis) < record.maxRunningCalls
    }

    private fun prefillQueueMillis(
        record: ServerRecord,
        view: ServerView,
    ): Double {
        if (view.pendingPrefillTokens == 0 || !policies.usesCache) return 0.0
        val model = record.models.firstOrNull()?.let { config.models[it] } ?: return 0.0
        return model.prefillMillis(view.pendingPrefillTokens)
    }

    fun isEngine(server: ServerId): Boolean = config.servers[server]?.kind == ServerKind.ENGINE

    /** Requests the load of an engine, unless it was requested less than [minIntervalMillis] ago. Other servers report none. */
    fun pollLoad(
        server: ServerId,
        minIntervalMillis: Long,
    ) {
        if (!isEngine(server) || nowMillis - viewOf(server).lastPolledMillis < minIntervalMillis) return
        updateView(server) { it.copy(lastPolledMillis = nowMillis) }
        effects += PollLoad(server)
    }

    fun ownerWeight(owner: OwnerId): Int = config.owners[owner]?.weight ?: DEFAULT_WEIGHT

    fun accountWeight(account: AccountId): Int = config.accounts[account]?.weight ?: DEFAULT_WEIGHT

    fun accountLimit(account: AccountId): Int =
        core.accountUse.allowedCalls(
            account,
            config.accounts[account]?.maxRunningCalls ?: DEFAULT_ACCOUNT_LIMIT,
            core.queue.waitingOf(account),
            nowMillis,
            settings.accountShareExpiryMillis,
        )

    /** Updates the position and blocking of the account in the queue after its attained service or its limit changed. */
    fun refreshAccount(account: AccountId) {
        val blocked = core.accountUse.runningOf(account) >= accountLimit(account)
        core =
            core.copy(
                accountUse = core.accountUse.withBlocked(account, blocked),
                queue = core.queue.rekey(account, core.fairShare.accountService(account), blocked),
            )
    }
}
