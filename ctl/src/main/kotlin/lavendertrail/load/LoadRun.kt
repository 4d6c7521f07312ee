package lavendertrail.load

import com.sun.management.OperatingSystemMXBean
import lavendertrail.dev.ApiCaller
import lavendertrail.dev.DevCluster
import lavendertrail.dev.DevOptions
import lavendertrail.http.httpClient
import lavendertrail.model.Message
import lavendertrail.model.ModelId
import lavendertrail.model.ProgramId
import lavendertrail.standins.ModelGroup
import lavendertrail.standins.PlatformPresets
import lavendertrail.standins.PlatformSettings
import java.lang.management.ManagementFactory
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.Executors
import java.util.concurrent.Future
import kotlin.random.Random

/** The size of a load run. The first round of each kind is a warm-up and isn't counted. */
internal data class LoadOptions(
    val streams: Int = 200,
    val rounds: Int = 4,
    val callsPerRound: Int = 3,
    val nodes: Int = 3,
    val answerTokens: Int = 60,
    val tokensPerSecond: Double = 34.0,
    val seed: Long = 1,
)

/**
 * Measures the latency and CPU time that a node adds to a streamed call. Rounds of direct calls to the engine stand-ins alternate
 * with rounds of the same calls through the nodes. In each round every stream makes a chain of calls with a growing history; a
 * direct caller sends the history itself. The engines' limits of running calls are above [LoadOptions.streams], so that both
 * kinds of call wait only for the next step of an engine.
 */
internal class LoadRun(
    private val options: LoadOptions,
    private val log: (String) -> Unit = {},
) {
    private val caller = TimedCaller(httpClient())
    private val direct = LoadRecorder()
    private val viaNode = LoadRecorder()
    private val ownerIsEntryTimes = nanosHistogram()
    private val forwardedTimes = nanosHistogram()
    private val cpu = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean

    fun run(): LoadReport =
        DevCluster(DevOptions(nodes = options.nodes, platform = platform(options))).use { cluster ->
            cluster.raiseAccountLimits()
            cluster.start()
            val threads = Executors.newFixedThreadPool(options.streams)
            for (round in 0..options.rounds) {
                runRound(threads, cluster, round, useNode = false)
                runRound(threads, cluster, round, useNode = true)
                log("round $round of ${options.rounds} done")
            }
            threads.shutdown()
            buildReport()
        }

    private fun runRound(
        threads: java.util.concurrent.ExecutorService,
        cluster: DevCluster,
        round: Int,
        useNode: Boolean,
    ) {
        var startNanos = 0L
        var cpuStartNanos = 0L
        val ready =
            CyclicBarrier(options.streams) {
                startNanos = System.nanoTime()
                cpuStartNanos = cpu.processCpuTime
            }
        val streams =
            (0 until options.streams).map { stream ->
                threads.submit { runStream(cluster, ready, round, stream, useNode) }
            }
        streams.forEach(Future<*>::get)
        if (round > 0) recorder(useNode).addRound(System.nanoTime() - startNanos, cpu.processCpuTime - cpuStartNanos)
    }

    private fun recorder(useNode: Boolean): LoadRecorder = if (useNode) viaNode else direct

    private fun runStream(
        cluster: DevCluster,
        ready: CyclicBarrier,
        round: Int,
        stream: Int,
        useNode: Boolean,
    ) {
        val random = Random(options.seed * 1_000_003 + round * 1_009 + stream)
        val program = if (useNode) ApiCaller(cluster::addresses, TOKEN).open(ACCOUNT, ASSISTANT) else null
        val addresses =
            if (useNode) {
                cluster.addresses
            } else {
                cluster.platform.engines
                    .filter { it.model.value == MODEL }
                    .map { it.address }
            }
        val history = mutableListOf<Message>()
        ready.await()
        // Spread the starts over the duration of one answer: 200 calls in the same millisecond would measure the burst, not the node.
        Thread.sleep(random.nextLong(START_SPREAD_MILLIS))
        repeat(options.callsPerRound) { position ->
            Thread.sleep(random.nextLong(MAX_PAUSE_MILLIS))
            val message = Message("user", "[answer-tokens=${options.answerTokens}] round $round stream $stream call $position $FILLER")
            history += message
            val address = addresses[(stream + position) % addresses.size]
            val callPosition = program?.let { ProgramPosition(it, position) }
            val messages = if (callPosition == null) history.toList() else listOf(message)
            val answer = caller.chat(address, TOKEN.takeIf { useNode }, MODEL, messages, options.answerTokens, callPosition)
            history += Message("assistant", answer.text)
            if (round > 0) recordAnswer(answer, cluster, program, address)
        }
    }

    private fun recordAnswer(
        answer: TimedAnswer,
        cluster: DevCluster,
        program: String?,
        address: String,
    ) {
        recorder(program != null).add(answer)
        if (program == null) return
        val partition = ProgramId(program).partition
        val entry = cluster.running.first { it.apiAddress == address }
        val local =
            entry.state.membership.owned[partition]
                ?.isActive == true
        synchronized(forwardedTimes) { (if (local) ownerIsEntryTimes else forwardedTimes).recordValue(answer.firstNanos) }
    }

    private fun buildReport(): LoadReport {
        val directStats = direct.stats()
        val nodeStats = viaNode.stats()
        val addedFirst = nodeStats.first.p50Millis - directStats.first.p50Millis
        return LoadReport(
            streams = options.streams,
            rounds = options.rounds,
            nodes = options.nodes,
            answerTokens = options.answerTokens,
            tokensPerSecond = options.tokensPerSecond,
            direct = directStats,
            node = nodeStats,
            ownerIsEntryFirst = ownerIsEntryTimes.stats(),
            forwardedFirst = forwardedTimes.stats(),
            addedFirstP50Millis = addedFirst,
            addedTotalP50Millis = nodeStats.total.p50Millis - directStats.total.p50Millis,
            addedFirstP95Millis = nodeStats.first.p95Millis - directStats.first.p95Millis,
            firstP50Ratio = nodeStats.first.p50Millis / directStats.first.p50Millis,
            totalP50Ratio = nodeStats.total.p50Millis / directStats.total.p50Millis,
            nodeCpuMillisPerCall = nodeStats.cpuMillisPerCall - directStats.cpuMillisPerCall,
            targetAddedMillis = MAX_ADDED_MILLIS,
            targetMet = addedFirst <= MAX_ADDED_MILLIS,
        )
    }

    private companion object {
        const val TOKEN = "barakah-desk-token"
        const val ACCOUNT = "barakah-desk"
        const val ASSISTANT = "permit-renewal"
        const val MODEL = "permit-desk"
        const val START_SPREAD_MILLIS = 1_800L
        const val MAX_ADDED_MILLIS = 2.0

        /**
         * The duration of two engine steps; each call is delayed by a random time up to this. Without the delay a call would start
         * right after the last step of the one before. Through a node it goes to the same engine and would wait for almost a whole
         * step; a direct call goes to another engine and waits for half a step.
         */
        const val MAX_PAUSE_MILLIS = 59L
        const val ENGINES = 8
        val FILLER = "Check vessel, berth, tide and fee. ".repeat(20)

        fun platform(options: LoadOptions): PlatformSettings {
            val small = PlatformPresets.small(seed = options.seed)
            val barakah = small.owners.first()
            val engine =
                barakah.models.first().engine.copy(
                    prefillTokensPerSecond = 1_000_000.0,
                    decodeTokensPerSecond = options.tokensPerSecond,
                    decodeSlowdownPerCall = 0.0,
                    maxRunningCalls = 2 * options.streams,
                    cacheCapacityTokens = 50_000_000,
                )
            val models = barakah.models.map { if (it.model == ModelId(MODEL)) ModelGroup(it.model, ENGINES, engine) else it }
            return small.copy(owners = listOf(barakah.copy(models = models)))
        }
    }
}
