package lavendertrail.serving

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against requests to a server that has left, on whatever way they wait, are repeated or are resumed while entries change. */
class ServerChangesTest {
    @Test
    fun `with twenty seeds no request goes to a server that has left`() {
        val sent = (1..20).sumOf { Schedule(seed = it).play() }
        assertTrue(sent > MIN_SENT, "only $sent requests were sent")
    }

    /** Random changes of entries, requests that wait for history, budget, permits and connections, and failures of single store calls. */
    private class Schedule(
        private val seed: Int,
    ) {
        private val random = Random(seed)
        private val bench = ServingBench()
        private val listed = mutableMapOf<String, BackendServer>()
        private val leaving = mutableSetOf<ServerRun>()
        private val waiting = mutableListOf<ServingEffect>()
        private val running = mutableListOf<SendToServer>()
        private var nextKey = 1L
        private var nextStart = 1L
        private var sentCount = 0

        init {
            val routes = bench.config.routes.map { it.copy(maxAttempts = 3, isResumable = it.kind == RequestKind.STREAM) }
            bench.apply(ConfigAccepted(bench.config.copy(version = 2, routes = routes)))
            listOf("tool" to "tools", "engine" to "engines").forEach { (name, service) -> (1..3).forEach { list("$name-$it", service) } }
        }

        fun play(): Int {
            repeat(STEPS) {
                bench.nowMillis += random.nextLong(20)
                when (random.nextInt(12)) {
                    0 -> changeEntry()
                    1 -> apply(ServerChanged(listed.values.random(random)))
                    2 -> if (random.nextInt(8) == 0) failStoreCall()
                    3, 4 -> arrive()
                    5, 6, 7 -> waiting.randomOrNull(random)?.let { answer(it) }
                    8, 9 -> running.randomOrNull(random)?.let { endAttempt(it) }
                    else -> apply(ClockTicked)
                }
            }
            return sentCount
        }

        private fun apply(event: ServingEvent) {
            bench.apply(event)
            for (effect in bench.effects) {
                if (effect is SendToServer) {
                    assertEquals(listed[effect.server.id], effect.server, "seed $seed, $event")
                    assertTrue(!effect.server.isDraining && effect.server.serverRun !in leaving, "seed $seed, $event: $effect")
                    sentCount++
                }
                if (effect is Reject) waiting.removeIf { it.requestKey == effect.key }
                if (effect.requestKey != null) waiting += effect
            }
        }

        private fun list(
            id: String,
            service: String,
        ) {
            val server = bench.server(id, service).copy(startedEpochMillis = nextStart++)
            listed[id] = server
            apply(ServerChanged(server))
        }

        private fun changeEntry() {
            val id = listOf("tool", "engine").random(random) + "-" + (1 + random.nextInt(3))
            val server = listed[id]
            when {
                server == null || random.nextInt(4) == 0 -> list(id, if (id.startsWith("tool")) "tools" else "engines")
                random.nextInt(3) == 0 -> {
                    leaving += server.serverRun
                    apply(ServerLeavingSeen(0, server))
                }
                server.isDraining || random.nextBoolean() -> {
                    listed -= id
                    apply(ServerRemoved(id))
                }
                else -> {
                    listed[id] = server.copy(isDraining = true)
                    apply(ServerChanged(server.copy(isDraining = true)))
                }
            }
            if (listed.isEmpty()) list("tool-1", "tools")
        }

        private fun failStoreCall() {
            apply(StoreReachabilityChanged(false))
            bench.nowMillis += 300
            apply(StoreReachabilityChanged(true))
            apply(ServersListed(listed.values.toList()))
        }

        private fun arrive() {
            val key = nextKey++
            val request = if (random.nextBoolean()) bench.plainRequest("/orders/$key") else bench.turnRequest("t$key")
            val isResume = request.previousTurnId != null && random.nextInt(3) == 0
            val resumed = request.copy(previousTurnId = null, resumeAfterEventId = "3", resumedAttemptId = "first")
            apply(RequestArrived(key, if (isResume) resumed else request))
        }

        private fun answer(effect: ServingEffect) {
            waiting -= effect
            when (effect) {
                is LoadHistory -> apply(HistoryLoaded(effect.key, HistoryResult.FOUND))
                is LoadStreamPart -> apply(StreamPartLoaded(effect.key, StreamPartResult.FOUND))
                is LoadStreamOrigin -> apply(StreamOriginLoaded(effect.key, StreamOrigin("engines", ""), isCertain = true))
                is ReserveTokens -> apply(TokensReserved(effect.key, ReservationResult.RESERVED, "engine-1"))
                is RequestPermit -> {
                    val chosen = effect.candidates.random(random).serverId
                    val decision = PermitDecision(chosen, random.nextLong(400), mapOf(chosen to 500L))
                    apply(PermitDecided(effect.key, effect.candidates, effect.maxWaitMillis, decision))
                }
                is SendToServer -> openConnection(effect)
                else -> Unit
            }
        }

        private fun openConnection(effect: SendToServer) {
            val server = effect.server
            val isUsable = listed[server.id] == server && server.serverRun !in leaving
            assertEquals(isUsable, bench.state.withdrawal(server) == null, "seed $seed: ${bench.state.withdrawal(server)} of $server")
            if (isUsable) running += effect else apply(AttemptEnded(effect.key, AttemptOutcome.WITHDRAWN))
        }

        private fun endAttempt(effect: SendToServer) {
            running -= effect
            if (random.nextBoolean()) apply(AnswerStarted(effect.key, null, if (random.nextBoolean()) 5.0 else null))
            val isBroken = effect.isStream && random.nextBoolean()
            val outcome = if (isBroken) AttemptOutcome.BROKEN else listOf(AttemptOutcome.NOT_RUN, AttemptOutcome.ANSWERED).random(random)
            apply(AttemptEnded(effect.key, outcome, lastEventId = "7".takeIf { isBroken }, isAnswerStarted = isBroken))
        }

        private val ServingEffect.requestKey: RequestKey?
            get() =
                when (this) {
                    is LoadHistory -> key
                    is LoadStreamOrigin -> key
                    is ReserveTokens -> key
                    is RequestPermit -> key
                    is SendToServer -> key
                    else -> null
                }
    }

    private companion object {
        const val STEPS = 3_000
        const val MIN_SENT = 5_000
    }
}
