package lavendertrail.experiment

import lavendertrail.dev.ApiCaller
import lavendertrail.dev.DevCluster
import lavendertrail.dev.DevOptions
import lavendertrail.dispatch.DispatchSettings
import lavendertrail.http.httpClient
import lavendertrail.load.liftAccountLimits
import lavendertrail.settings.NodeSettings
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** One run of a workload under one policy. Latencies are in the time of the models. */
internal data class RunFigures(
    val latencyMillis: List<Long>,
    val latencyOfAccount: Map<String, List<Long>>,
    val failedPrograms: Int,
    val refusals: Int,
    val cache: CacheFigures,
)

internal data class RunOptions(
    val policy: String,
    val seed: Long,
    val timeScale: Double,
    val fault: ExperimentFault = ExperimentFault.NONE,
)

private class Finished(
    val account: String,
    val latencyMillis: Long,
)

/**
 * Runs [workload] over three nodes and the engine stand-ins of [preset], all over sockets. Times of engines, tools and
 * arrivals are shorter by the time scale, and so are the dispatch settings that are times of calls, caches and polls.
 */
internal fun runExperiment(
    preset: ExperimentPreset,
    workload: Workload,
    options: RunOptions,
): RunFigures {
    val platform = options.fault.adapt(preset.platform(options.seed, options.timeScale))
    val cluster = DevCluster(DevOptions(nodes = 3, platform = platform, adapt = { it.scaled(options) }))
    return cluster.use {
        it.liftAccountLimits()
        it.start()
        ClusterRun(it, workload, options).run()
    }
}

private class ClusterRun(
    private val cluster: DevCluster,
    private val workload: Workload,
    private val options: RunOptions,
) {
    private val http = httpClient()
    private val traces = ConcurrentHashMap<String, ProgramTrace>()
    private val refusals = AtomicInteger()
    private val threads = Executors.newCachedThreadPool()

    fun run(): RunFigures {
        val beginNanos = System.nanoTime()
        val faults = thread(name = "faults") { applyFault(beginNanos) }
        val programs =
            workload.programs.map { plan ->
                sleepUntil(beginNanos, plan.arrivalMillis)
                threads.submit<Finished?> { program(plan) }
            }
        val finished = programs.mapNotNull { it.outcome() }
        faults.join()
        threads.shutdownNow()
        return RunFigures(
            latencyMillis = finished.map { it.latencyMillis },
            latencyOfAccount = finished.groupBy({ it.account }, { it.latencyMillis }),
            failedPrograms = programs.size - finished.size,
            refusals = refusals.get(),
            cache = cacheFigures(cluster.platform.engines.map { it.standin.executedCalls }, traces),
        )
    }

    private fun program(plan: ProgramPlan): Finished? {
        val begin = System.nanoTime()
        val done = ProgramRunner(ApiCaller(cluster::addresses, plan.token, http), traces, refusals).run(plan)
        val millis = ((System.nanoTime() - begin) / NANOS_PER_MILLI * options.timeScale).toLong()
        return if (done) Finished(plan.account, millis) else null
    }

    private fun applyFault(beginNanos: Long) {
        sleepUntil(beginNanos, (workload.windowMillis * FAULT_BEGIN).toLong())
        options.fault.begin(cluster)
        sleepUntil(beginNanos, (workload.windowMillis * FAULT_END).toLong())
        options.fault.end(cluster)
    }

    private fun sleepUntil(
        beginNanos: Long,
        modelMillis: Long,
    ) {
        val untilNanos = beginNanos + (modelMillis / options.timeScale * NANOS_PER_MILLI).toLong()
        TimeUnit.NANOSECONDS.sleep(untilNanos - System.nanoTime())
    }

    private fun Future<Finished?>.outcome(): Finished? = runCatching { get(PROGRAM_LIMIT_SECONDS, TimeUnit.SECONDS) }.getOrNull()

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val FAULT_BEGIN = 0.3
        const val FAULT_END = 0.6
        const val PROGRAM_LIMIT_SECONDS = 60L
    }
}

private fun NodeSettings.scaled(options: RunOptions): NodeSettings =
    copy(
        dispatch = dispatch.scaled(options.timeScale).copy(policy = options.policy),
        timing = timing.copy(cacheEventPollMillis = (timing.cacheEventPollMillis / options.timeScale).toLong()),
    )

private fun DispatchSettings.scaled(timeScale: Double): DispatchSettings {
    fun scaled(millis: Long): Long = (millis / timeScale).toLong().coerceAtLeast(1)
    return copy(
        maxClassWaitMillis = scaled(maxClassWaitMillis),
        loadPollMillis = scaled(loadPollMillis),
        pinSweepMillis = scaled(pinSweepMillis),
        maxPinMillis = scaled(maxPinMillis),
        maxHoldMillis = scaled(maxHoldMillis),
        nearDeadlineMillis = scaled(nearDeadlineMillis),
        cacheHalfLifeMillis = scaled(cacheHalfLifeMillis),
    )
}
