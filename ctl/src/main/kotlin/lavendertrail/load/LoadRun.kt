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

/** Size of a load run. The first round of each kind warms up and isn't counted. */
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
 * Measures what a node adds to a streamed call. Rounds of direct calls to the engine stand-ins and rounds of the same
 * calls through the nodes alternate in one run. In each round all streams run chains of calls whose history grows; a
 * direct caller sends the history itself. Engines have no limit that [LoadOptions.streams] could reach, so that both
 * kinds wait for nothing but the next step of an engine.
 */
internal class LoadRun(
    private val options: LoadOptions,
    private val log: (String) -> Unit = {},
) {
    private val caller = TimedCaller(httpClient())
    private val direct = LoadRecorder()
    private val viaNode = LoadRecorder()
    private val ownerIsEntry = nanosHistogram()
    private val forwarded = nanosHistogram()
    private val cpu = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean

    fun run(): LoadReport =
        DevCluster(DevOptions(nodes = options.nodes, platform = platform(options))).use { cluster ->
            cluster.liftAccountLimits()
            cluster.start()
            val threads = Executors.newFixedThreadPool(options.streams)
            for (round in 0..options.rounds) {
                round(threads, cluster, round, useNode = false)
                round(threads, cluster, round, useNode = true)
                log("round $round of ${options.rounds} done")
            }
            threads.shutdown()
            report()
        }

    private fun round(
        threads: java.util.concurrent.ExecutorService,
        cluster: DevCluster,
        round: Int,
        useNode: Boolean,
    ) {
        var begin = 0L
        var cpuBegin = 0L
        val ready =
            CyclicBarrier(options.streams) {
                begin = System.nanoTime()
                cpuBegin = cpu.processCpuTime
            }
        val streams =
            (0 until options.streams).map { stream ->
                threads.submit { stream(cluster, ready, round, stream, useNode) }
            }
        streams.forEach(Future<*>::get)
        if (round > 0) recorder(useNode).addRound(System.nanoTime() - begin, cpu.processCpuTime - cpuBegin)
    }

    private fun recorder(useNode: Boolean): LoadRecorder = if (useNode) viaNode else direct

    private fun stream(
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
        // Spread over one answer, since 200 calls in the same millisecond would measure the burst instead of the node.
        Thread.sleep(random.nextLong(SPREAD_MILLIS))
        repeat(options.callsPerRound) { position ->
            Thread.sleep(random.nextLong(THINK_MILLIS))
            val message = Message("user", "[answer-tokens=${options.answerTokens}] round $round stream $stream call $position $FILLER")
            history += message
            val address = addresses[(stream + position) % addresses.size]
            val place = program?.let { CallPlace(it, position) }
            val messages = if (place == null) history.toList() else listOf(message)
            val answer = caller.chat(address, TOKEN.takeIf { useNode }, MODEL, messages, options.answerTokens, place)
            history += Message("assistant", answer.text)
            if (round > 0) record(answer, cluster, program, address)
        }
    }

    private fun record(
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
        synchronized(forwarded) { (if (local) ownerIsEntry else forwarded).recordValue(answer.firstNanos) }
    }

    private fun report(): LoadReport {
        val directFigures = direct.figures()
        val nodeFigures = viaNode.figures()
        val addedFirst = nodeFigures.first.p50Millis - directFigures.first.p50Millis
        return LoadReport(
            streams = options.streams,
            rounds = options.rounds,
            nodes = options.nodes,
            answerTokens = options.answerTokens,
            tokensPerSecond = options.tokensPerSecond,
            direct = directFigures,
            node = nodeFigures,
            ownerIsEntryFirst = ownerIsEntry.figures(),
            forwardedFirst = forwarded.figures(),
            addedFirstP50Millis = addedFirst,
            addedTotalP50Millis = nodeFigures.total.p50Millis - directFigures.total.p50Millis,
            addedFirstP95Millis = nodeFigures.first.p95Millis - directFigures.first.p95Millis,
            firstP50Ratio = nodeFigures.first.p50Millis / directFigures.first.p50Millis,
            totalP50Ratio = nodeFigures.total.p50Millis / directFigures.total.p50Millis,
            nodeCpuMillisPerCall = nodeFigures.cpuMillisPerCall - directFigures.cpuMillisPerCall,
            targetAddedMillis = TARGET_MILLIS,
            targetMet = addedFirst <= TARGET_MILLIS,
        )
    }

    private companion object {
        const val TOKEN = "barakah-desk-token"
        const val ACCOUNT = "barakah-desk"
        const val ASSISTANT = "permit-renewal"
        const val MODEL = "permit-desk"
        const val SPREAD_MILLIS = 1_800L
        const val TARGET_MILLIS = 2.0

        /**
         * Two steps of an engine. Without this pause a call follows the last step of the one before: through a node at the
         * same engine, where it then waits for almost a whole step, and direct at another one, where it waits for half.
         */
        const val THINK_MILLIS = 59L
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
