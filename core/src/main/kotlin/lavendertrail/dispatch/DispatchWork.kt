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

// Limits of an account without a record, which are those of a record's defaults.
private const val DEFAULT_ACCOUNT_LIMIT = 64
private const val DEFAULT_WEIGHT = 1

/** The state during one step; it doesn't outlive the step, so that [reduceDispatch] stays a pure function. */
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
        if (!core.routes.isFor(config)) core = core.copy(routes = routeTable(config, state.self))
    }

    fun nextRandom(): Double = random.nextDouble()

    fun step(): Step =
        if (core === state.dispatch.core) {
            Step(state, effects, signals)
        } else {
            Step(state.copy(dispatch = DispatchState(core)), effects, signals)
        }

    fun view(server: ServerId): ServerView = core.servers[server] ?: ServerView()

    inline fun changeView(
        server: ServerId,
        change: (ServerView) -> ServerView,
    ) {
        core = core.copy(servers = core.servers.put(server, change(view(server))))
    }

    fun put(entry: CallEntry) {
        core = core.copy(calls = core.calls.put(entry.call.call, entry))
    }

    fun setTimer(
        dueMillis: Long,
        timer: Timer,
    ): TimerKey {
        val key = TimerKey(dueMillis, core.timerNumber)
        core = core.copy(timerNumber = core.timerNumber + 1, timers = core.timers.put(key, timer))
        return key
    }

    /** Sets a timer that is dropped when the call finishes. */
    fun setTimer(
        call: CallId,
        dueMillis: Long,
        timer: Timer,
    ) {
        val key = setTimer(dueMillis, timer)
        val entry = core.calls[call] ?: return
        put(entry.copy(timers = entry.timers + key))
    }

    fun dropTimers(entry: CallEntry) {
        core = core.copy(timers = entry.timers.fold(core.timers) { tree, key -> tree.remove(key) })
    }

    /** Neither leaving, lost nor missing from the host list. */
    fun takesWork(server: ServerId): Boolean {
        val hosts = core.hosts
        val view = core.servers[server]
        return (hosts == null || hosts.takesWork(server)) && (view == null || (view.reachable && view.load?.leaving != true))
    }

    fun limitOf(record: ServerRecord): Int {
        val limit = view(record.server).limit
        // Tools have no first token to learn from, so they start at their configured maximum.
        return if (record.kind != ServerKind.ENGINE && limit.calls == null) {
            record.maxRunningCalls.coerceAtLeast(1)
        } else {
            policies.limit.callsOf(limit, record.maxRunningCalls)
        }
    }

    fun hasRoom(record: ServerRecord): Boolean {
        val view = view(record.server)
        if (view.isolatedBy != null || view.isDoubtful || view.backoffUntilMillis > nowMillis) return false
        if (view.running.size >= limitOf(record) || prefillQueueMillis(record, view) > settings.maxPrefillQueueMillis) return false
        // One call of this node may always run: others' calls must not shut it out for as long as the report stands.
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

    /** Asks an engine for its load, unless it was asked less than [pauseMillis] ago; other servers report none. */
    fun poll(
        server: ServerId,
        pauseMillis: Long,
    ) {
        if (!isEngine(server) || nowMillis - view(server).polledMillis < pauseMillis) return
        changeView(server) { it.copy(polledMillis = nowMillis) }
        effects += PollLoad(server)
    }

    fun ownerWeight(owner: OwnerId): Int = config.owners[owner]?.weight ?: DEFAULT_WEIGHT

    fun accountWeight(account: AccountId): Int = config.accounts[account]?.weight ?: DEFAULT_WEIGHT

    fun accountLimit(account: AccountId): Int =
        core.accounts.allowed(
            account,
            config.accounts[account]?.maxRunningCalls ?: DEFAULT_ACCOUNT_LIMIT,
            core.queue.waitingOf(account),
            nowMillis,
            settings.accountShareExpiryMillis,
        )

    /** Puts the account where its attained service and its limit say, after either changed. */
    fun refreshAccount(account: AccountId) {
        val blocked = core.accounts.runningOf(account) >= accountLimit(account)
        core =
            core.copy(
                accounts = core.accounts.withBlocked(account, blocked),
                queue = core.queue.rekey(account, core.share.ofAccount(account), blocked),
            )
    }
}
