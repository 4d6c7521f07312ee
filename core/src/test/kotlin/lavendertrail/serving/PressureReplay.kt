package lavendertrail.serving

import java.util.PriorityQueue
import kotlin.random.Random

/** A load as data: programs that begin in each second, and what happens to a third of the hosts. */
internal class PressureLoad(
    val seed: Int,
    val programsPerSecond: List<Int>,
    val fault: Fault = Fault.NONE,
) {
    enum class Fault { NONE, CUT_OFF, RESTARTED, SLOW }
}

internal class PressureOutcome(
    programs: List<PressureReplay.Program>,
) {
    val inTime = programs.count { it.isInTime }

    /** Turns in vain, of programs that ended late or not at all. */
    val turnsInVain = programs.filter { !it.isInTime }.sumOf { it.turnsDone }
    val worstSecondsShare =
        programs
            .groupBy { it.atMillis / 1_000 }
            .values
            .map { second -> second.count { it.isInTime } / second.size.toDouble() }
            .sorted()
            .take(2)
            .average()
}

/** Programs of several turns call [HOSTS] entry hosts, each a reducer that hears of the engines only by its own answers. */
internal class PressureReplay(
    private val load: PressureLoad,
    private val settings: ServingSettings,
) {
    class Program(
        val number: Int,
        val atMillis: Long,
        val turns: Int,
        var turnsDone: Int = 0,
        var isInTime: Boolean = false,
    ) {
        val objectiveMillis get() = (ALLOWED_SLOWDOWN * (turns * MEAN_TURN_MILLIS + (turns - 1) * PAUSE_MILLIS)).toLong()
    }

    /** One attempt of a caller; a turn has two, and is sent again from its start twice. */
    private class Attempt(
        val program: Program,
        val host: Int,
        val bench: ServingBench,
        val tries: Int,
        val deadlineAtMillis: Long,
        var engine: String? = null,
        var startedAtMillis: Long? = null,
    )

    private class Scheduled(
        val atMillis: Long,
        val order: Int,
        val action: () -> Unit,
    )

    private val random = Random(load.seed)
    private val agenda = PriorityQueue<Scheduled>(compareBy({ it.atMillis }, { it.order }))
    private val hosts = MutableList(HOSTS) { newHost() }
    private val waiting = (1..ENGINES).associate { "engine-$it" to ArrayDeque<Long>() }
    private val running = (1..ENGINES).associate { "engine-$it" to mutableSetOf<Long>() }
    private val attempts = mutableMapOf<Long, Attempt>()
    private var nowMillis = START_MILLIS
    private var scheduled = 0
    private var lastKey = 0L

    private fun newHost() =
        ServingBench(settings = settings).also { host -> (2..ENGINES).forEach { host.addServer("engine-$it", "engines") } }

    private fun after(
        millis: Long,
        action: () -> Unit,
    ) {
        agenda += Scheduled(nowMillis + millis, scheduled++, action)
    }

    private fun secondNow() = ((nowMillis - START_MILLIS) / 1_000).toInt()

    private fun isAffected(host: Int) = host % 3 == 0

    private fun isDuringFault(fault: PressureLoad.Fault) = load.fault == fault && secondNow() in FAULT_SECONDS

    fun run(): PressureOutcome {
        val programs =
            load.programsPerSecond.flatMapIndexed { second, count ->
                List(count) { Program(second * 1_000 + it, second * 1_000L + random.nextLong(1_000), turns = random.nextInt(2, 9)) }
            }
        for (program in programs) after(program.atMillis) { callTurn(program, tries = 0, TURN_DEADLINE_MILLIS) }
        if (load.fault == PressureLoad.Fault.RESTARTED) after(FAULT_SECONDS.first * 1_000L) { restartHosts() }
        while (agenda.isNotEmpty()) {
            val next = agenda.remove()
            nowMillis = next.atMillis
            next.action()
        }
        return PressureOutcome(programs)
    }

    private fun callTurn(
        program: Program,
        tries: Int,
        remainingMillis: Long,
    ) {
        val usable = hosts.indices.filterNot { isAffected(it) && isDuringFault(PressureLoad.Fault.CUT_OFF) }
        val host = usable.random(random)
        val key = ++lastKey
        attempts[key] = Attempt(program, host, hosts[host], tries, nowMillis + remainingMillis)
        after(remainingMillis) { if (key in attempts) tell(hosts[host], ClockTicked) }
        tell(hosts[host], RequestArrived(key, request(program, key, remainingMillis)))
    }

    private fun request(
        program: Program,
        key: Long,
        remainingMillis: Long,
    ) = CallerRequest(
        attemptId = "a$key",
        method = "POST",
        host = "desk.example",
        target = "/chat/x",
        deadlineMillis = remainingMillis,
        promptTokens = FIRST_PROMPT_TOKENS + program.turnsDone * TURN_TOKENS,
        programId = "p${program.number}",
        sessionId = "s${program.number}",
        programDeadlineMillis = program.objectiveMillis - (nowMillis - START_MILLIS - program.atMillis),
        previousTurnId = "t".takeIf { program.turnsDone > 0 },
    )

    private fun tell(
        host: ServingBench,
        event: ServingEvent,
    ) {
        host.nowMillis = nowMillis
        host.apply(event)
        for (effect in host.effects) {
            when (effect) {
                is LoadHistory -> tell(host, HistoryLoaded(effect.key, HistoryResult.FOUND))
                is SendToServer -> {
                    attempts.getValue(effect.key).engine = effect.server.id
                    waiting.getValue(effect.server.id) += effect.key
                    startWaiting(effect.server.id)
                }
                is CancelAttempt -> leaveEngine(effect.key)
                is Reject -> attempts.remove(effect.key)?.let { callAgain(it, effect.retryAfterMillis) }
                else -> Unit
            }
        }
    }

    private fun startWaiting(engine: String) {
        val here = running.getValue(engine)
        while (here.size < SLOTS) {
            val key = waiting.getValue(engine).removeFirstOrNull() ?: return
            here += key
            attempts.getValue(key).startedAtMillis = nowMillis
            after(random.nextLong(100, 201)) { if (key in here) endTurn(key, engine) }
        }
    }

    private fun leaveEngine(key: Long) {
        val engine = attempts[key]?.engine ?: return
        waiting.getValue(engine) -= key
        running.getValue(engine) -= key
        startWaiting(engine)
    }

    private fun endTurn(
        key: Long,
        engine: String,
    ) {
        val attempt = attempts.getValue(key)
        leaveEngine(key)
        val report = ReportedLoad(running.getValue(engine).size, waiting.getValue(engine).size, SLOTS)
        val delayMillis = if (isAffected(attempt.host) && isDuringFault(PressureLoad.Fault.SLOW)) SLOW_HOST_MILLIS else 0
        after(delayMillis) {
            if (attempts.remove(key) == null) return@after
            val ended =
                AttemptEnded(key, AttemptOutcome.ANSWERED, report, eventGapMillis = 20.0, firstEventAtMillis = attempt.startedAtMillis)
            tell(attempt.bench, ended)
            val program = attempt.program
            program.turnsDone++
            if (program.turnsDone < program.turns) return@after after(PAUSE_MILLIS) { callTurn(program, 0, TURN_DEADLINE_MILLIS) }
            program.isInTime = nowMillis - START_MILLIS - program.atMillis <= program.objectiveMillis
        }
    }

    private fun callAgain(
        attempt: Attempt,
        retryAfterMillis: Long?,
    ) {
        val remainingMillis = attempt.deadlineAtMillis - nowMillis
        if (attempt.tries % 2 == 0 && remainingMillis > 0) {
            val waitMillis = minOf(retryAfterMillis ?: CALLER_RETRY_MILLIS, remainingMillis / 3)
            after(waitMillis) { callTurn(attempt.program, attempt.tries + 1, remainingMillis - waitMillis) }
        } else if (attempt.tries < 5) {
            after(random.nextLong(100, 401)) { callTurn(attempt.program, attempt.tries / 2 * 2 + 2, TURN_DEADLINE_MILLIS) }
        }
    }

    private fun restartHosts() {
        for (host in hosts.indices.filter { isAffected(it) }) hosts[host] = newHost()
        for ((key, attempt) in attempts.toMap()) {
            if (attempt.bench === hosts[attempt.host]) continue
            leaveEngine(key)
            attempts -= key
            callAgain(attempt, retryAfterMillis = null)
        }
    }

    private companion object {
        const val START_MILLIS = 20_000L
        const val HOSTS = 12
        const val ENGINES = 6
        const val TURN_DEADLINE_MILLIS = 3_000L
        const val SLOTS = 6
        const val MEAN_TURN_MILLIS = 150
        const val PAUSE_MILLIS = 300L
        const val ALLOWED_SLOWDOWN = 1.8
        const val FIRST_PROMPT_TOKENS = 3_590
        const val TURN_TOKENS = 400
        const val SLOW_HOST_MILLIS = 150L
        const val CALLER_RETRY_MILLIS = 50L
        val FAULT_SECONDS = 5..6
    }
}
