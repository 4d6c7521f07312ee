package lavendertrail.experiment

import kotlinx.serialization.Serializable

/** Figures of one policy, or of one fault, over all seeds. Latencies are in seconds of the models' time. */
@Serializable
internal data class PolicyRow(
    val name: String,
    val programs: Int,
    val p50Seconds: Double,
    val p95Seconds: Double,
    val p99Seconds: Double,
    val wastedPercent: Double,
    val cachedPercent: Double,
    val refusals: Int,
    val failedPrograms: Int,
    val fairness: Double,
    val latencySeconds: List<Double>,
)

@Serializable
internal data class ExperimentReport(
    val preset: String,
    val seeds: Int,
    val load: Double,
    val timeScale: Double,
    val windowSeconds: Double,
    val offeredLoad: Map<String, Double>,
    val policies: List<PolicyRow>,
    val faults: List<PolicyRow> = emptyList(),
)

/** Joins the runs of all seeds. */
internal fun rowOf(
    name: String,
    runs: List<RunFigures>,
): PolicyRow {
    val latencies = runs.flatMap { it.latencyMillis }.sorted()
    val prompt = runs.sumOf { it.cache.promptTokens }.coerceAtLeast(1)
    return PolicyRow(
        name = name,
        programs = latencies.size,
        p50Seconds = percentile(latencies, 50) / 1_000,
        p95Seconds = percentile(latencies, 95) / 1_000,
        p99Seconds = percentile(latencies, 99) / 1_000,
        wastedPercent = 100.0 * runs.sumOf { it.cache.wastedTokens } / prompt,
        cachedPercent = 100.0 * runs.sumOf { it.cache.cachedTokens } / prompt,
        refusals = runs.sumOf { it.refusals },
        failedPrograms = runs.sumOf { it.failedPrograms },
        fairness = fairness(runs),
        latencySeconds = latencies.map { it / 1_000.0 },
    )
}

/** The value at or above [percent] percent of [sorted]; 0 where there are none. */
internal fun percentile(
    sorted: List<Long>,
    percent: Int,
): Double {
    if (sorted.isEmpty()) return 0.0
    val rank = (sorted.size * percent + 99) / 100
    return sorted[(rank - 1).coerceIn(0, sorted.size - 1)].toDouble()
}

/** Jain's index over the accounts' mean latencies: 1 where all are equal, 1/n where one account has all of the waiting. */
private fun fairness(runs: List<RunFigures>): Double {
    val accounts = runs.flatMap { it.latencyOfAccount.entries }.groupBy({ it.key }, { it.value })
    val means = accounts.values.map { it.flatten().average() }
    val sum = means.sum()
    return if (means.isEmpty()) 1.0 else sum * sum / (means.size * means.sumOf { it * it })
}

internal fun ExperimentReport.toMarkdown(): String =
    buildString {
        appendLine(
            "Preset $preset, $seeds seeds, arrivals over ${windowSeconds.shown()} s of model time per seed, time scale ${timeScale.shown()}.",
        )
        val loads = offeredLoad.entries.joinToString { "${it.key} ${it.value.shown()}" }
        appendLine("Offered load (mean over seeds, perfect cache): $loads.")
        appendLine()
        appendLine("| policy | programs | p50 s | p95 s | p99 s | wasted cache % | cached % | refusals | failed | fairness |")
        appendLine("|---|---|---|---|---|---|---|---|---|---|")
        policies.forEach { row(it) }
        val own = policies.firstOrNull { it.name == OWN_POLICY }
        val baselines = policies.filter { it.name != OWN_POLICY }
        if (own != null && baselines.isNotEmpty()) appendRatios(own, baselines)
        if (faults.isNotEmpty()) appendFaults(faults)
    }

private fun StringBuilder.row(row: PolicyRow) {
    val latencies =
        listOf(row.p50Seconds, row.p95Seconds, row.p99Seconds, row.wastedPercent, row.cachedPercent).joinToString(" | ") {
            it.shown()
        }
    appendLine("| ${row.name} | ${row.programs} | $latencies | ${row.refusals} | ${row.failedPrograms} | ${row.fairness.shown()} |")
}

private fun StringBuilder.appendRatios(
    own: PolicyRow,
    baselines: List<PolicyRow>,
) {
    val latency = baselines.minBy { it.p95Seconds }
    val wasted = baselines.minBy { it.wastedPercent }
    appendLine()
    appendLine("$OWN_POLICY against the best baseline: p95 ${ratio(own.p95Seconds, latency.p95Seconds)} of ${latency.name} (target 0.50),")
    appendLine("wasted cache ${ratio(own.wastedPercent, wasted.wastedPercent)} of ${wasted.name} (target 0.25).")
}

private fun StringBuilder.appendFaults(faults: List<PolicyRow>) {
    val healthy = faults.first().p95Seconds
    appendLine()
    appendLine("| fault, $OWN_POLICY | programs | p95 s | p95 over no fault (target 1.50) | refusals | failed |")
    appendLine("|---|---|---|---|---|---|")
    faults.forEach {
        val ratio = ratio(it.p95Seconds, healthy)
        appendLine("| ${it.name} | ${it.programs} | ${it.p95Seconds.shown()} | $ratio | ${it.refusals} | ${it.failedPrograms} |")
    }
}

private fun ratio(
    value: Double,
    base: Double,
): String = if (base == 0.0) "-" else (value / base).shown()

private fun Double.shown(): String = "%.2f".format(java.util.Locale.ROOT, this)

internal const val OWN_POLICY: String = "programAware"
