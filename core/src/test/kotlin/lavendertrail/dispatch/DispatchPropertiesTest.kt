package lavendertrail.dispatch

import lavendertrail.model.CallId
import lavendertrail.model.ServerId
import lavendertrail.model.ServiceClass
import lavendertrail.reducer.AttemptFailure
import lavendertrail.reducer.DispatchCancelled
import lavendertrail.reducer.HostListReceived
import lavendertrail.reducer.PinsReported
import lavendertrail.reducer.ProgramGone
import lavendertrail.reducer.ServerLoadReported
import lavendertrail.reducer.ServerReachability
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.StreamFound
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val ACTIONS = 250

class DispatchPropertiesTest {
    /** A run of random requests and faults, which checks each started attempt against the server limits and for repeated starts. */
    private class RandomRun(
        seed: Long,
        policy: String,
    ) {
        private val random = Random(seed)
        private val maxRunning = 3
        private val servers = (1..5).map { engine(it, maxRunning) }
        val fixture = DispatchFixture(servers, DispatchSettings(policy = policy, maxQueuedCalls = 30), seed = seed)
        val requested = mutableListOf<CallId>()
        private val nonRepeatable = mutableSetOf<CallId>()
        private val mayHaveRun = mutableSetOf<CallId>()
        private var number = 0

        fun run() {
            repeat(ACTIONS) {
                val before = fixture.started.size
                sendRandomEvent()
                fixture.started.drop(before).forEach { check(it) }
                fixture.nowMillis += random.nextLong(200)
            }
            fixture.send(HostListReceived(servers.map { it.server }.toSet() + TOOL_SERVER.server, emptySet()))
            fixture.tick(120_000, stepMillis = 1_000)
        }

        private fun check(start: StartAttempt) {
            val onServer =
                fixture.state.dispatch.core.servers
                    .getValue(start.server)
                    .running.size
            val limit = if (start.server == TOOL_SERVER.server) TOOL_SERVER.maxRunningCalls else maxRunning
            if (!start.resume) assertTrue(onServer <= limit, "$onServer calls are running on ${start.server}, the limit is $limit")
            if (start.call in nonRepeatable && !start.resume) {
                assertTrue(mayHaveRun.add(start.call), "call ${start.call} was started twice")
            }
        }

        private fun sendRandomEvent() {
            val server = server(1 + random.nextInt(5))
            when (random.nextInt(20)) {
                in 0..7 -> request()
                in 8..11 -> randomRunning()?.let { fixture.complete(it) }
                12 -> randomRunning()?.let { fixture.firstToken(it) }
                in 13..14 -> randomRunning()?.let { fail(it) }
                15 -> fixture.send(ServerReachability(server, reachable = random.nextBoolean(), incarnation = "${random.nextInt(3)}"))
                16 -> fixture.send(ServerLoadReported(server, load(random.nextInt(4), leaving = random.nextInt(5) == 0)))
                17 -> requested.randomOrNull(random)?.let { fixture.send(DispatchCancelled(it)) }
                18 -> {
                    val removed = setOf(server, server(1 + random.nextInt(5)))
                    fixture.send(HostListReceived(servers.map { it.server }.toSet() + TOOL_SERVER.server - removed, removed - server))
                }
                else -> sendRareEvent(server)
            }
            if (random.nextInt(3) == 0) fixture.tick()
        }

        private fun sendRareEvent(server: ServerId) {
            when (random.nextInt(3)) {
                0 -> fixture.send(PinsReported(server, requested.takeLast(3).map { it.program }.toSet()))
                1 -> requested.randomOrNull(random)?.let { fixture.send(ProgramGone(it.program, moved = random.nextBoolean())) }
                else -> requested.randomOrNull(random)?.let { fixture.send(StreamFound(it, server.takeIf { random.nextBoolean() })) }
            }
        }

        private fun randomRunning(): CallId? =
            fixture.running.keys
                .toList()
                .randomOrNull(random)

        private fun fail(call: CallId) {
            val failure = AttemptFailure.entries.random(random)
            if (failure in setOf(AttemptFailure.REJECTED, AttemptFailure.BUSY)) mayHaveRun -= call
            fixture.fail(call, failure)
        }

        private fun request() {
            val repeatable = random.nextInt(3) > 0
            val call =
                modelCall(
                    program("p${number++}"),
                    serviceClass = ServiceClass.entries.random(random),
                    repeatable = repeatable,
                    account = "acct${random.nextInt(3)}",
                    fingerprint = if (random.nextInt(4) == 0) "shared${random.nextInt(3)}" else "fp$number",
                    deadlineMillis = fixture.nowMillis + 1_000 + random.nextLong(60_000),
                    promptTokens = 1 + random.nextInt(20_000),
                )
            val finalCall =
                when (random.nextInt(8)) {
                    0 -> toolCall(call.call.program, repeatable).copy(deadlineMillis = call.deadlineMillis)
                    1 -> call.copy(recovered = true, resumeOnly = !repeatable)
                    else -> call
                }
            requested += finalCall.call
            if (!finalCall.repeatable) nonRepeatable += finalCall.call
            fixture.request(finalCall)
        }
    }

    /** Guards against missing or duplicate ends, exceeded limits, repeated runs, and counts that don't return to zero. */
    @Property(seed = "4711", tries = 150)
    fun `each call ends once, limits hold and nothing runs twice`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        for (policy in listOf("programAware", "leastLoadFifo", "stickyFifo")) {
            val run = RandomRun(seed, policy)
            run.run()
            val ends =
                run.fixture.finished
                    .groupingBy { it.call }
                    .eachCount()
            val core = run.fixture.state.dispatch.core
            val wrongEnds = run.requested.filter { ends[it] != 1 }.map { "$it ended ${ends[it]} times, phase ${core.calls[it]?.phase}" }
            assertTrue(wrongEnds.isEmpty(), "policy $policy: $wrongEnds")
            assertEquals(0, core.calls.size + core.queue.size + core.isolatingCalls.size + core.callsByProgram.size)
            assertTrue(core.servers.values.all { it.running.isEmpty() && it.heldCalls.isEmpty() && it.isolatedBy == null })
            assertTrue(core.servers.values.all { it.pendingPrefillTokens == 0 })
            assertTrue(core.accountUse.runningAccounts().isEmpty() && core.queue.waitingAccounts().isEmpty())
        }
    }

    /** Guards against a poison request that crashes a third server while other calls run, and against refusing harmless calls. */
    @Property(seed = "815", tries = 100)
    fun `a fingerprint crashes at most two servers`(
        @ForAll @LongRange(min = 0, max = 1_000_000) seed: Long,
    ) {
        val random = Random(seed)
        val fixture = DispatchFixture((1..4).map { engine(it, 6) }, seed = seed)
        val crashes = mutableMapOf<String, MutableList<ServerId>>()
        val isPoison = { call: CallId -> call.program.value.contains("-bad") }
        val harmless = mutableListOf<CallId>()
        repeat(120) { number ->
            if (random.nextInt(12) == 0) {
                val kind = "bad${random.nextInt(2)}"
                fixture.request(modelCall(program("${kind}n$number"), fingerprint = kind))
            } else {
                harmless += fixture.request(modelCall(program("ok$number")))
            }
            fixture.running.keys.filter { random.nextInt(4) == 0 && !isPoison(it) }.forEach {
                if (it in
                    fixture.running
                ) {
                    fixture.complete(it)
                }
            }
            fixture.running.keys.firstOrNull { random.nextInt(3) == 0 && isPoison(it) }?.let { poison ->
                val server = checkNotNull(fixture.serverOf(poison))
                crashes.getOrPut(
                    poison.program.value
                        .substringAfterLast('-')
                        .substringBefore('n'),
                ) { mutableListOf() } += server
                if (random.nextBoolean()) fixture.fail(poison, AttemptFailure.CONNECTION_LOST)
                fixture.running.values.removeIf { it.server == server }
                fixture.send(ServerReachability(server, reachable = false))
                fixture.send(ServerReachability(server, reachable = true, incarnation = "r$number"))
            }
            fixture.tick(200)
        }
        assertTrue(crashes.values.all { it.size <= 2 }, "crashed servers per fingerprint: $crashes")
        repeat(300) {
            fixture.running.keys
                .toList()
                .filter { !isPoison(it) }
                .forEach { if (it in fixture.running) fixture.complete(it) }
            fixture.running.keys.toList().filter { isPoison(it) }.forEach {
                if (it in
                    fixture.running
                ) {
                    fixture.send(DispatchCancelled(it))
                }
            }
            fixture.tick(500)
        }
        val refused = harmless.filter { fixture.refusal(it) != null }.map { it to fixture.refusal(it)?.reason }
        assertTrue(refused.isEmpty(), "harmless calls were refused: $refused")
    }
}
