package lavendertrail.serving

import lavendertrail.model.FailureDomain
import java.util.PriorityQueue
import kotlin.random.Random

/** What a schedule deliberately does wrong, to show that the check finds it. */
internal enum class QuotaPlant { NONE, VOTES_FOR_ALL, EARLY_FULL_BUCKET, SPENT_IS_RETURNED }

/**
 * Entry hosts, turn hosts and a network with the real reducers and without sockets: delays, lost messages, cuts, freezes with and
 * without a clock that stands still, restarts, load that moves between hosts, and limits that change.
 */
internal class QuotaModel(
    seed: Long,
    private val plant: QuotaPlant = QuotaPlant.NONE,
    private val isDisturbed: Boolean = true,
) {
    private val random = Random(seed)
    private val quota = QuotaSettings()
    private val settings = ServingSettings(quota = quota)
    private val events = PriorityQueue(compareBy<Timed>({ it.atMillis }, { it.order }))
    private var order = 0L
    var nowMillis = START_MILLIS
        private set
    private val endMillis = LOAD_START_MILLIS + 15_000 + random.nextLong(10_000)
    private val accounts = List(random.nextInt(1, 5)) { account("account$it") }
    private val entries = List(entryCount()) { EntryProcess("entry$it") }
    private val turnHosts = List(listOf(3, 5, 10)[random.nextInt(3)]) { TurnProcess("turn$it") }
    private val members = turnHosts.map { it.name }
    private val cuts = HashMap<String, Long>()
    val ledger = QuotaLedger(accounts)
    private var nextKey = 1L

    private class Timed(
        val atMillis: Long,
        val order: Long,
        val process: ModelProcess?,
        val action: () -> Unit,
    )

    /** A process whose clock may differ from the others', and that handles nothing while it is frozen. */
    private open inner class ModelProcess(
        val name: String,
    ) {
        private var clockOffsetMillis = random.nextLong(100_000)
        var frozenUntilMillis = 0L
        var run = 0
        var isPauseHidden = false
        val clockMillis: Long get() = nowMillis + clockOffsetMillis

        fun freeze(
            durationMillis: Long,
            isClockStopped: Boolean,
        ) {
            frozenUntilMillis = nowMillis + durationMillis
            if (isClockStopped) {
                clockOffsetMillis -= durationMillis
                isPauseHidden = true
            }
        }

        open fun afterPause() = Unit
    }

    private inner class EntryProcess(
        name: String,
    ) : ModelProcess(name) {
        var limits = accounts.associateBy { it.name }
        var version = 1L
        var state = initialState()
        private var granter: String? = null
        private val suspects = HashMap<String, Long>()

        private fun initialState() =
            servingState(FailureDomain("a"), settings)
                .after(StoreReachabilityChanged(true))
                .after(ConfigAccepted(CONFIG.copy(accounts = ClientAccounts(accounts.associateBy { it.name }))))
                .after(ServerChanged(BackendServer("s", "tools", "10.0.0.1:80", FailureDomain("a"), slots = 100_000, isDraining = false)))

        private fun ServingState.after(event: ServingEvent) = reduceServing(this, clockMillis, event).state

        fun restart() {
            run++
            state = initialState()
            granter = null
        }

        override fun afterPause() = apply(ProcessPaused)

        fun apply(event: ServingEvent) {
            val step = reduceServing(state, clockMillis, event)
            state = step.state
            step.effects.forEach(::execute)
        }

        fun arrive(
            key: RequestKey,
            accountName: String,
        ) {
            val request = CallerRequest("r$key", "POST", "desk", "/tools/x", 6_000)
            val route = CONFIG.routes.single()
            val account = limits.getValue(accountName)
            val pending =
                PendingRequest(key, request, route, CONFIG.services.getValue("tools"), clockMillis, clockMillis + 6_000, account = account)
            val known = state.parts.copy(config = state.parts.config?.copy(version = version))
            val work = ServingWork(known, clockMillis)
            work.putRequest(pending)
            if (work.withQuota(pending) != null) work.placeRequest(key)
            state = ServingState(work.parts)
            work.effects.forEach(::execute)
        }

        private fun execute(effect: ServingEffect) {
            when (effect) {
                is ReportQuotas -> report(if (plant == QuotaPlant.SPENT_IS_RETURNED) effect.withoutSpent() else effect, 2)
                is SendToServer -> {
                    ledger.recordArrival(effect.key, nowMillis)
                    on(this, 20) { apply(AttemptEnded(effect.key, AttemptOutcome.ANSWERED)) }
                }
                is Reject -> ledger.recordRefusal(effect.reason)
                else -> Unit
            }
        }

        private fun ReportQuotas.withoutSpent() = copy(uses = uses.map { it.copy(spentRequests = 0, heldRequests = 0) })

        private fun report(
            effect: ReportQuotas,
            attemptsLeft: Int,
        ) {
            val target =
                turnHosts.firstOrNull { it.name == granter } ?: turnHosts.firstOrNull { (suspects[it.name] ?: 0) < clockMillis }
            if (target == null || attemptsLeft == 0) {
                return on(this, 0) { apply(QuotasGranted(effect.sequence, effect.sentAtMillis, effect.uses, null)) }
            }
            ledger.calls++
            var isOpen = true

            fun fail() {
                granter = null
                report(effect, attemptsLeft - 1)
            }
            send(this, target) {
                val decision = target.decide(name + run, effect)
                send(target, this) {
                    if (isOpen) {
                        isOpen = false
                        val grants = decision.grants
                        granter = decision.granter
                        if (grants == null && granter != null) {
                            report(effect, attemptsLeft - 1)
                        } else {
                            apply(QuotasGranted(effect.sequence, effect.sentAtMillis, effect.uses, grants))
                        }
                    }
                }
            }
            on(this, CALL_TIMEOUT_MILLIS) {
                if (isOpen) {
                    isOpen = false
                    suspects[target.name] = clockMillis + 1_000
                    fail()
                }
            }
        }
    }

    private inner class TurnProcess(
        name: String,
    ) : ModelProcess(name) {
        var host = newHost()

        private fun newHost() = QuotaHost(name, quota, QuotaVoter(clockMillis - if (plant == QuotaPlant.VOTES_FOR_ALL) 10_000 else 0))

        fun restart() {
            run++
            host = newHost()
        }

        override fun afterPause() {
            host = host.afterPause()
        }

        fun decide(
            holder: String,
            effect: ReportQuotas,
        ): QuotaDecision {
            val (next, decision) = host.decide(holder, effect.sequence, effect.uses, members, clockMillis)
            host = next
            if (plant != QuotaPlant.EARLY_FULL_BUCKET) return decision
            // As if a new granter began with the buckets of one that has run for long.
            val granter = next.granter
            if (granter != null && granter.startedAtMillis > clockMillis - 60_000) {
                host = next.copy(granter = QuotaGranter(granter.startedAtMillis - 60_000, quota))
            }
            return decision
        }

        fun tick() {
            val roundAtMillis = clockMillis
            val (next, isAsking) = host.startRound(members, roundAtMillis)
            host = next
            if (!isAsking) return
            for (voter in turnHosts.filter { it !== this }) {
                send(this, voter) {
                    val (voted, isGiven) = voter.host.vote(name, voter.clockMillis)
                    if (plant != QuotaPlant.VOTES_FOR_ALL) voter.host = voted
                    if (isGiven) send(voter, this) { host = host.withVote(voter.name, roundAtMillis, members, clockMillis) }
                }
            }
        }
    }

    private fun entryCount(): Int = if (random.nextInt(20) == 0) 67 else random.nextInt(1, 12)

    private fun account(name: String): ClientAccount {
        val rate = listOf(1.0, 4.0, 12.0, 40.0, 120.0)[random.nextInt(5)]
        return ClientAccount(name, requestsPerSecond = rate, burstRequests = listOf(5.0, rate / 2, rate * 2)[random.nextInt(3)])
    }

    private fun on(
        process: ModelProcess?,
        afterMillis: Long,
        action: () -> Unit,
    ) {
        val run = process?.run
        events += Timed(nowMillis + afterMillis, order++, process) { if (process?.run == run) action() }
    }

    private fun send(
        from: ModelProcess,
        to: ModelProcess,
        action: () -> Unit,
    ) {
        if (isCut(from.name, to.name) || random.nextInt(500) == 0) return
        val delayMillis = if (random.nextInt(50) == 0) random.nextLong(400) else random.nextLong(1, 5)
        on(to, delayMillis, action)
    }

    private fun isCut(
        one: String,
        other: String,
    ) = listOf(one, other, minOf(one, other) + maxOf(one, other)).any { (cuts[it] ?: 0) > nowMillis }

    /** Runs the schedule and returns what it shows. */
    fun run(): QuotaLedger {
        entries.forEach { tickEntry(it) }
        turnHosts.forEach { tickTurnHost(it) }
        accounts.forEach { planLoad(it) }
        if (isDisturbed) repeat(random.nextInt(6)) { planFault(LOAD_START_MILLIS + random.nextLong(endMillis - LOAD_START_MILLIS)) }
        while (true) {
            val next = events.poll() ?: break
            if (next.atMillis > endMillis + 3_000) break
            nowMillis = maxOf(nowMillis, next.atMillis)
            val process = next.process
            if (process != null && process.frozenUntilMillis > nowMillis) {
                events += Timed(process.frozenUntilMillis, next.order, process, next.action)
                continue
            }
            if (process?.isPauseHidden == true) {
                process.isPauseHidden = false
                process.afterPause()
            }
            next.action()
        }
        return ledger
    }

    private fun tickEntry(entry: EntryProcess) {
        entry.apply(ClockTicked)
        on(null, 50) { events += Timed(nowMillis, order++, entry) { tickEntry(entry) } }
    }

    private fun tickTurnHost(host: TurnProcess) {
        host.tick()
        on(null, 50) { events += Timed(nowMillis, order++, host) { tickTurnHost(host) } }
    }

    /** Plans the requests of [account] at hosts that change several times a second. */
    private fun planLoad(account: ClientAccount) {
        val rate = checkNotNull(account.requestsPerSecond)
        var load = 0.6
        var at = LOAD_START_MILLIS.toDouble()
        var nextShift = at
        var preferred = entries
        while (at < endMillis) {
            if (at >= nextShift) {
                load = listOf(0.2, 0.6, 0.6, 0.9, 4.0)[random.nextInt(5)]
                preferred = entries.shuffled(random).take(random.nextInt(1, entries.size + 1))
                nextShift = at + random.nextLong(200, 1_500)
            }
            val entry = preferred[random.nextInt(preferred.size)]
            val key = nextKey++
            events += Timed(at.toLong(), order++, null) { if (entry.frozenUntilMillis <= nowMillis) arrive(entry, key, account.name) }
            at += -kotlin.math.ln(1 - random.nextDouble()) * 1_000 / (rate * load)
        }
    }

    private fun arrive(
        entry: EntryProcess,
        key: RequestKey,
        account: String,
    ) {
        ledger.recordRequest(key, account, nowMillis, isOwed = !isCutOff(entry))
        events += Timed(nowMillis, order++, entry) { entry.arrive(key, account) }
    }

    private fun isCutOff(entry: EntryProcess) =
        isCut(entry.name, "") || turnHosts.any { (cuts[minOf(entry.name, it.name) + maxOf(entry.name, it.name)] ?: 0) > nowMillis }

    private fun planFault(atMillis: Long) {
        val durationMillis = random.nextLong(100, 6_000)
        val entry = entries[random.nextInt(entries.size)]
        val turnHost = if (random.nextBoolean()) turnHosts.first() else turnHosts[random.nextInt(turnHosts.size)]
        val process: ModelProcess = if (random.nextBoolean()) entry else turnHost
        val isClockStopped = random.nextBoolean()
        val kind = random.nextInt(6)
        events +=
            Timed(atMillis, order++, null) {
                when (kind) {
                    0 -> cuts[process.name] = nowMillis + durationMillis
                    1 -> cuts[minOf(entry.name, turnHost.name) + maxOf(entry.name, turnHost.name)] = nowMillis + durationMillis
                    2 -> process.freeze(durationMillis, isClockStopped)
                    3 -> entry.restart()
                    4 -> turnHost.restart()
                    else -> changeLimit(accounts[random.nextInt(accounts.size)], durationMillis)
                }
            }
    }

    /** Changes a limit, of which a third of the hosts hear only after [lagMillis]. */
    private fun changeLimit(
        account: ClientAccount,
        lagMillis: Long,
    ) {
        val current = entries.maxBy { it.version }
        val version = current.version + 1
        val old = current.limits.getValue(account.name)
        val factor = if (random.nextBoolean()) 0.5 else 1.5
        val changed = old.copy(requestsPerSecond = checkNotNull(old.requestsPerSecond) * factor)
        val limits = current.limits + (account.name to changed)
        ledger.recordLimit(changed, nowMillis, nowMillis + lagMillis + 50)
        entries.forEachIndexed { index, entry ->
            events +=
                Timed(nowMillis + if (index % 3 == 0) lagMillis else 50, order++, null) {
                    if (entry.version < version) {
                        entry.limits = limits
                        entry.version = version
                    }
                }
        }
    }

    private companion object {
        const val START_MILLIS = 100_000L

        /** Load begins well after the processes have started. */
        const val LOAD_START_MILLIS = START_MILLIS + 19_000
        const val CALL_TIMEOUT_MILLIS = 200L
        val KIND = RequestKind.IDEMPOTENT
        val CONFIG =
            ServingConfig(
                version = 1,
                routes = listOf(Route("tools", "desk", "/tools/", listOf(RouteTarget("tools", 1)), KIND, 4_000, 250, 1, 1)),
                services = mapOf("tools" to ServiceSpec("tools", "/healthz", 100_000)),
                limits = CallerLimits(),
            )
    }
}
