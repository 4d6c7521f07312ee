package lavendertrail.experiment

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.Json
import lavendertrail.dispatch.dispatchPolicyNames
import java.io.File

private val json = Json { prettyPrint = false }

/** The policies of a run by default: all but the reference policy, which needs hints that a caller of a real node can't give. */
private val defaultPolicies = listOf(OWN_POLICY, "roundRobinFifo", "leastLoadFifo", "stickyFifo")

internal data class ExperimentOptions(
    val preset: ExperimentPreset,
    val seeds: Int,
    val load: Double,
    val timeScale: Double,
    val windowMillis: Long,
    val policies: List<String>,
    val faults: Boolean,
)

/** The command `lavendertrailctl experiment`. It runs several policies on the same workloads and writes tables and plots. */
public fun experimentCommand(args: Array<String>): Int {
    val parser = ArgParser("lavendertrailctl experiment")
    val preset by
        parser
            .option(
                ArgType.Choice(experimentPresets.keys.toList(), { it }),
                "preset",
                description = "Owner whose engines and workload are used",
            ).required()
    val seeds by parser.option(ArgType.Int, "seeds", description = "Number of workloads per policy").default(5)
    val load by parser.option(ArgType.Double, "load", description = "Offered load as a share of the engines' capacity").default(0.85)
    val scale by parser.option(ArgType.Double, "time-scale", description = "Speed relative to real time").default(5.0)
    val window by parser.option(ArgType.Int, "window", description = "Seconds of model time in which programs arrive").default(30)
    val policies by
        parser
            .option(ArgType.String, "policies", description = "Policy names, separated by commas")
            .default(defaultPolicies.joinToString(","))
    val faults by parser.option(ArgType.Boolean, "faults", description = "Also run $OWN_POLICY with faults").default(false)
    val out by parser.option(ArgType.String, "out", description = "Folder for tables and plots").default("target/experiment")
    parser.parse(args)
    val names = policies.split(",")
    val unknown = names - dispatchPolicyNames
    if (unknown.isNotEmpty() || seeds < 1 || load <= 0 || scale <= 0 || window < 1) {
        System.err.println(
            "experiment: policies must be known and numbers positive; unknown policies $unknown, seeds $seeds, load $load, " +
                "scale $scale, window $window",
        )
        return 2
    }
    val options = ExperimentOptions(experimentPresets.getValue(preset), seeds, load, scale, window * 1_000L, names, faults)
    val report = runExperiments(options) { System.err.println("experiment: $it") }
    val folder = File(out).apply { mkdirs() }
    folder.resolve("experiment.json").writeText(json.encodeToString(ExperimentReport.serializer(), report) + "\n")
    folder.resolve("experiment.md").writeText(report.toMarkdown())
    println(report.toMarkdown())
    report.plot(folder)
    return 0
}

private fun runExperiments(
    options: ExperimentOptions,
    log: (String) -> Unit,
): ExperimentReport {
    val shape = options.preset.shape(options.preset.platform(1, options.timeScale))
    val workloads = (1L..options.seeds).associateWith { workloadOf(shape, it, options.load, options.windowMillis) }

    fun runSeeds(
        policy: String,
        fault: ExperimentFault,
        seeds: Collection<Long>,
    ): List<RunStats> =
        seeds.map { seed ->
            val startNanos = System.nanoTime()
            runExperiment(options.preset, workloads.getValue(seed), RunOptions(policy, seed, options.timeScale, fault)).also {
                val p95Millis = percentile(it.latencyMillis.sorted(), 95)
                val tookMillis = (System.nanoTime() - startNanos) / 1_000_000
                log("$policy, seed $seed, fault ${fault.title}: p95 $p95Millis ms, wasted ${it.cache.wastedShare}, ran $tookMillis ms")
            }
        }

    // The first run of a process is slower until its code is compiled, so its result is discarded.
    runSeeds(options.policies.last(), ExperimentFault.NONE, listOf(1L))
    val runsOfPolicy = options.policies.associateWith { mutableListOf<RunStats>() }
    workloads.keys.forEach { seed ->
        // Rotate the order of the policies with the seed, so that slow phases of the host don't always affect the same policy.
        val offset = (seed % options.policies.size).toInt()
        val rotatedPolicies = options.policies.drop(offset) + options.policies.take(offset)
        rotatedPolicies.forEach { runsOfPolicy.getValue(it) += runSeeds(it, ExperimentFault.NONE, listOf(seed)) }
    }
    val rows = options.policies.map { rowOf(it, runsOfPolicy.getValue(it)) }
    val faultRows =
        if (options.faults) ExperimentFault.entries.map { rowOf(it.title, runSeeds(OWN_POLICY, it, workloads.keys)) } else emptyList()
    val loads = workloads.values.map { it.offeredLoad }
    return ExperimentReport(
        preset = options.preset.name,
        seeds = options.seeds,
        load = options.load,
        timeScale = options.timeScale,
        windowSeconds = options.windowMillis / 1_000.0,
        offeredLoad = loads.first().keys.associateWith { model -> loads.map { it.getValue(model) }.average() },
        policies = rows,
        faults = faultRows,
    )
}
