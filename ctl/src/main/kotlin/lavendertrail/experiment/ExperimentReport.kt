package lavendertrail.experiment

import kotlinx.serialization.Serializable

/** The results of one policy or one fault over all seeds. Latencies are in seconds of model time. */
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

/** Aggregates the runs of all seeds. */
internal fun rowOf(
    name: String,
    runs: List<RunStats>,
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

/** Returns the nearest-rank percentile of [sorted], or 0 if the list is empty. */
internal fun percentile(
    sorted: List<Long>,
    percent: Int,
): Double {
    if (sorted.isEmpty()) return 0.0
    val rank = (sorted.size * percent + 99) / 100
    return sorted[(rank - 1).coerceIn(0, sorted.size - 1)].toDouble()
}

/** Jain's fairness index of the accounts' mean latencies: 1 if all are equal, 1/n if one of n accounts has all the latency. */
private fun fairness(runs: List<RunStats>): Double {
    val accounts = runs.flatMap { it.latencyOfAccount.entries }.groupBy({ it.key }, { it.value })
    val means = accounts.values.map { it.flatten().average() }
    val sum = means.sum()
    return if (means.isEmpty()) 1.0 else sum * sum / (means.size * means.sumOf { it * it })
}

internal fun ExperimentReport.toMarkdown(): String =
    buildString {
        appendLine(
            "Preset $preset, $seeds seeds, arrivals over ${windowSeconds.formatted()} s of model time per seed, " +
                "time scale ${timeScale.formatted()}.",
        )
        val loads = offeredLoad.entries.joinToString { "${it.key} ${it.value.formatted()}" }
        appendLine("Offered load (mean over seeds, perfect cache): $loads.")
        appendLine()
        appendLine("| policy | programs | p50 s | p95 s | p99 s | wasted cache % | cached % | refusals | failed | fairness |")
        appendLine("|---|---|---|---|---|---|---|---|---|---|")
        policies.forEach { appendRow(it) }
        val own = policies.firstOrNull { it.name == OWN_POLICY }
        val baselines = policies.filter { it.name != OWN_POLICY }
        if (own != null && baselines.isNotEmpty()) appendRatios(own, baselines)
        if (faults.isNotEmpty()) appendFaults(faults)
    }

private fun StringBuilder.appendRow(row: PolicyRow) {
    val latencies =
        listOf(row.p50Seconds, row.p95Seconds, row.p99Seconds, row.wastedPercent, row.cachedPercent).joinToString(" | ") {
            it.formatted()
        }
    appendLine("| ${row.name} | ${row.programs} | $latencies | ${row.refusals} | ${row.failedPrograms} | ${row.fairness.formatted()} |")
}

private fun StringBuilder.appendRatios(
    own: PolicyRow,
    baselines: List<PolicyRow>,
) {
    val lowestLatency = baselines.minBy { it.p95Seconds }
    val lowestWaste = baselines.minBy { it.wastedPercent }
    appendLine()
    val latencyRatio = ratio(own.p95Seconds, lowestLatency.p95Seconds)
    appendLine("$OWN_POLICY against the best baseline: p95 $latencyRatio of ${lowestLatency.name} (target 0.50),")
    appendLine("wasted cache ${ratio(own.wastedPercent, lowestWaste.wastedPercent)} of ${lowestWaste.name} (target 0.25).")
}

private fun StringBuilder.appendFaults(faults: List<PolicyRow>) {
    val baselineP95Seconds = faults.first().p95Seconds
    appendLine()
    appendLine("| fault, $OWN_POLICY | programs | p95 s | p95 over no fault (target 1.50) | refusals | failed |")
    appendLine("|---|---|---|---|---|---|")
    faults.forEach {
        val ratio = ratio(it.p95Seconds, baselineP95Seconds)
        appendLine("| ${it.name} | ${it.programs} | ${it.p95Seconds.formatted()} | $ratio | ${it.refusals} | ${it.failedPrograms} |")
    }
}

private fun ratio(
    value: Double,
    base: Double,
): String = if (base == 0.0) "-" else (value / base).formatted()

private fun Double.formatted(): String = "%.2f".format(java.util.Locale.ROOT, this)

/** The default dispatch policy, which the report compares with the baselines. */
internal const val OWN_POLICY: String = "programAware"
