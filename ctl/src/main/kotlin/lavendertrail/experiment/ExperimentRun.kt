package lavendertrail.experiment

import lavendertrail.dev.ApiCaller
import lavendertrail.dev.DevCluster
import lavendertrail.dev.DevOptions
import lavendertrail.dispatch.DispatchSettings
import lavendertrail.http.httpClient
import lavendertrail.load.raiseAccountLimits
import lavendertrail.settings.NodeSettings
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** The results of one run of a workload under one policy. Latencies are in model time. */
internal data class RunStats(
    val latencyMillis: List<Long>,
    val latencyOfAccount: Map<String, List<Long>>,
    val failedPrograms: Int,
    val refusals: Int,
    val cache: CacheStats,
)

internal data class RunOptions(
    val policy: String,
    val seed: Long,
    val timeScale: Double,
    val fault: ExperimentFault = ExperimentFault.NONE,
)

private class FinishedProgram(
    val account: String,
    val latencyMillis: Long,
)

/**
 * Runs [workload] on three nodes and the engine stand-ins of [preset], which communicate over sockets. The times of engines, tools
 * and arrivals are divided by the time scale, and so are the dispatch settings for times of calls, caches and polls.
 */
internal fun runExperiment(
    preset: ExperimentPreset,
    workload: Workload,
    options: RunOptions,
): RunStats {
    val platform = options.fault.adapt(preset.platform(options.seed, options.timeScale))
    val cluster = DevCluster(DevOptions(nodes = 3, platform = platform, adapt = { it.scaled(options) }))
    return cluster.use {
        it.raiseAccountLimits()
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
    private val traces = ConcurrentHashMap<String, ProgramCacheTrace>()
    private val refusals = AtomicInteger()
    private val threads = Executors.newCachedThreadPool()

    fun run(): RunStats {
        val startNanos = System.nanoTime()
        val faultThread = thread(name = "faults") { applyFault(startNanos) }
        val programs =
            workload.programs.map { plan ->
                sleepUntil(startNanos, plan.arrivalMillis)
                threads.submit<FinishedProgram?> { runProgram(plan) }
            }
        val finished = programs.mapNotNull { it.awaitOrNull() }
        faultThread.join()
        threads.shutdownNow()
        return RunStats(
            latencyMillis = finished.map { it.latencyMillis },
            latencyOfAccount = finished.groupBy({ it.account }, { it.latencyMillis }),
            failedPrograms = programs.size - finished.size,
            refusals = refusals.get(),
            cache = cacheStats(cluster.platform.engines.map { it.standin.executedCalls }, traces),
        )
    }

    private fun runProgram(plan: ProgramPlan): FinishedProgram? {
        val programStartNanos = System.nanoTime()
        val completed = ProgramRunner(ApiCaller(cluster::addresses, plan.token, http), traces, refusals).run(plan)
        val millis = ((System.nanoTime() - programStartNanos) / NANOS_PER_MILLI * options.timeScale).toLong()
        return if (completed) FinishedProgram(plan.account, millis) else null
    }

    private fun applyFault(startNanos: Long) {
        sleepUntil(startNanos, (workload.windowMillis * FAULT_BEGIN_SHARE).toLong())
        options.fault.begin(cluster)
        sleepUntil(startNanos, (workload.windowMillis * FAULT_END_SHARE).toLong())
        options.fault.end(cluster)
    }

    private fun sleepUntil(
        startNanos: Long,
        modelMillis: Long,
    ) {
        val untilNanos = startNanos + (modelMillis / options.timeScale * NANOS_PER_MILLI).toLong()
        TimeUnit.NANOSECONDS.sleep(untilNanos - System.nanoTime())
    }

    private fun Future<FinishedProgram?>.awaitOrNull(): FinishedProgram? =
        runCatching { get(PROGRAM_TIMEOUT_SECONDS, TimeUnit.SECONDS) }.getOrNull()

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val FAULT_BEGIN_SHARE = 0.3
        const val FAULT_END_SHARE = 0.6
        const val PROGRAM_TIMEOUT_SECONDS = 60L
    }
}

private fun NodeSettings.scaled(options: RunOptions): NodeSettings =
    copy(
        dispatch = dispatch.scaled(options.timeScale).copy(policy = options.policy),
        timing = timing.copy(cacheEventPollMillis = (timing.cacheEventPollMillis / options.timeScale).toLong()),
    )

private fun DispatchSettings.scaled(timeScale: Double): DispatchSettings {
    fun scaleMillis(millis: Long): Long = (millis / timeScale).toLong().coerceAtLeast(1)
    return copy(
        maxClassWaitMillis = scaleMillis(maxClassWaitMillis),
        loadPollMillis = scaleMillis(loadPollMillis),
        pinSweepMillis = scaleMillis(pinSweepMillis),
        maxPinMillis = scaleMillis(maxPinMillis),
        maxHoldMillis = scaleMillis(maxHoldMillis),
        nearDeadlineMillis = scaleMillis(nearDeadlineMillis),
        cacheHalfLifeMillis = scaleMillis(cacheHalfLifeMillis),
    )
}
