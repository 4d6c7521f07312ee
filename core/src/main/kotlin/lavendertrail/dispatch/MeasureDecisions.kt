package lavendertrail.dispatch

import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import lavendertrail.config.ConfigState
import lavendertrail.config.ModelRecord
import lavendertrail.config.ServerKind
import lavendertrail.config.ServerRecord
import lavendertrail.membership.NodeRecord
import lavendertrail.model.AccountId
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.FailureDomain
import lavendertrail.model.ModelId
import lavendertrail.model.NodeId
import lavendertrail.model.OwnerId
import lavendertrail.model.PartitionId
import lavendertrail.model.ProgramId
import lavendertrail.model.RegionId
import lavendertrail.model.ServerId
import lavendertrail.model.ServiceClass
import lavendertrail.model.Usage
import lavendertrail.model.programId
import lavendertrail.reducer.CallCompleted
import lavendertrail.reducer.CallFirstToken
import lavendertrail.reducer.DispatchCall
import lavendertrail.reducer.DispatchRequested
import lavendertrail.reducer.Event
import lavendertrail.reducer.NodeState
import lavendertrail.reducer.PromptPrefix
import lavendertrail.reducer.ServerLoad
import lavendertrail.reducer.StartAttempt
import lavendertrail.reducer.TimedEvent

/** Number of servers and programs for which decisions are measured. */
@Serializable
public data class DecisionSize(
    public val servers: Int,
    public val programs: Int,
)

/** Duration of one dispatch step, measured over requests, first tokens and completions in equal numbers. */
@Serializable
public data class DecisionTiming(
    public val servers: Int,
    public val programs: Int,
    public val decisions: Int,
    public val medianNanos: Long,
    public val p99Nanos: Long,
)

// Lets the just-in-time compiler finish: the first 20,000 decisions take about twice as long as later ones.
private const val WARMUP_DECISIONS = 30_000
private const val MEASURED_DECISIONS = 30_000
private const val MODEL_COUNT = 13
private const val ACCOUNT_COUNT = 40
private const val TURNS_IN_CHAIN = 40

/**
 * Measures how long one decision takes for each of [sizes]. Every program has a waiting or running call at any time.
 * The caller passes the clock, since core reads none.
 *
 * ```kotlin
 * measureDecisions(listOf(DecisionSize(servers = 600, programs = 300)), System::nanoTime)
 * ```
 */
public fun measureDecisions(
    sizes: List<DecisionSize>,
    nanoTime: () -> Long,
): List<DecisionTiming> = sizes.map { DecisionBench(it, nanoTime).measure() }

private class DecisionBench(
    private val size: DecisionSize,
    private val nanoTime: () -> Long,
) {
    private val region = RegionId("bench")
    private val domains = (0 until 3).map { FailureDomain("domain-$it") }
    private val models = (0 until MODEL_COUNT).map { ModelId("model-$it") }
    private val programs = (0 until size.programs).map { programId(region, PartitionId(it % PartitionId.COUNT), "p$it") }
    private val positions = IntArray(size.programs)
    private val running = ArrayDeque<StartAttempt>()
    private val samples = ArrayList<Long>()
    private val indexes = programs.withIndex().associate { it.value to it.index }
    private var nowMillis = 1_000_000L
    private var seed = 1L
    private var state =
        NodeState(
            self = NodeRecord(NodeId("bench-1"), region, domains.first(), "", "", 1, journal = false),
            config =
                ConfigState(
                    servers = (0 until size.servers).associate { ServerId("engine-$it") to server(it) }.toPersistentMap(),
                    models = models.associateWith { ModelRecord(it) }.toPersistentMap(),
                ),
        )

    fun measure(): DecisionTiming {
        programs.indices.forEach { request(it) }
        while (samples.size < WARMUP_DECISIONS) completeOldestCall()
        samples.clear()
        while (samples.size < MEASURED_DECISIONS) completeOldestCall()
        samples.sort()
        return DecisionTiming(size.servers, size.programs, samples.size, samples[samples.size / 2], samples[samples.size * 99 / 100])
    }

    /** Completes the call that has been running longest and requests the next call of its program. */
    private fun completeOldestCall() {
        val start = running.removeFirst()
        nowMillis += 5
        step(CallFirstToken(start.call, start.attempt))
        val usage = Usage(promptTokens = 4_000, cachedTokens = 3_500, generatedTokens = 120)
        step(CallCompleted(start.call, start.attempt, "", usage, ServerLoad(2, 0, 0, 100_000, 400_000)))
        request(indexes.getValue(start.call.program))
    }

    private fun request(index: Int): Unit = step(DispatchRequested(call(index)))

    private fun step(event: Event) {
        val timed = TimedEvent(nowMillis, seed++, event)
        val before = nanoTime()
        val step = reduceDispatch(state, timed)
        samples += nanoTime() - before
        state = step.state
        step.effects.filterIsInstance<StartAttempt>().forEach { running += it }
    }

    private fun call(index: Int): DispatchCall {
        val program: ProgramId = programs[index]
        val position = positions[index]++
        val tokens = 1_000 + position % TURNS_IN_CHAIN * 100
        return DispatchCall(
            call = CallId(program, position),
            owner = OwnerId("owner-${index % 2}"),
            account = AccountId("account-${index % ACCOUNT_COUNT}"),
            serviceClass = ServiceClass.entries[index % ServiceClass.entries.size],
            body = CallBody.ModelCall(models[index % MODEL_COUNT], emptyList(), maxTokens = 200),
            repeatable = true,
            deadlineMillis = nowMillis + 600_000,
            programOpenedMillis = 0,
            depth = 0,
            blocksParent = false,
            promptChain = List(TURNS_IN_CHAIN) { PromptPrefix("$index/${position + it}", tokens * (it + 1) / TURNS_IN_CHAIN) },
            promptTokens = tokens,
            maxTokens = 200,
            fingerprint = "$index/$position",
        )
    }

    private fun server(index: Int): ServerRecord =
        ServerRecord(
            server = ServerId("engine-$index"),
            kind = ServerKind.ENGINE,
            address = "127.0.0.1:1",
            owner = OwnerId("owner-${index % 2}"),
            region = region,
            failureDomain = domains[index % domains.size],
            models = listOf(models[index % MODEL_COUNT]),
            // With 8 candidates per model about a third of 300 programs runs and the others wait.
            maxRunningCalls = 2,
        )
}
