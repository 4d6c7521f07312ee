package lavendertrail.capacity

import kotlinx.serialization.Serializable

/** The results of one run of the capacity measurements. */
@Serializable
public data class CapacityReport(
    public val sizes: String,
    public val measurements: List<Measurement>,
    public val failures: List<FailureMeasurement>,
)

/** The cost of losing [lostNodes] of [nodes] nodes, until each partition has an active owner again. */
@Serializable
public data class FailureMeasurement(
    public val failure: String,
    public val nodes: Int,
    public val lostNodes: Int,
    public val movedPartitions: Int,
    public val recoveryMillis: Long?,
    public val serviceWrites: Long,
    public val serviceReads: Long,
    public val probes: Long,
)

/** Formats the report as Markdown tables. */
public fun CapacityReport.toMarkdown(): String =
    buildString {
        appendLine("| quantity | size | points | slope | intercept | spread |")
        appendLine("|---|---|---|---|---|---|")
        measurements.forEach { appendLine(it.toRow()) }
        appendLine()
        appendLine("| failure | nodes | lost | partitions moved | until all are owned | writes | reads | probes |")
        appendLine("|---|---|---|---|---|---|---|---|")
        failures.forEach { appendLine(it.toRow()) }
    }

private fun Measurement.toRow(): String {
    val values = points.joinToString("; ") { "${it.size}: ${it.value.formatted()}" }
    val spread = "%.0f %%".format(fit.spread * 100)
    return "| $name ($valueUnit) | $sizeUnit | $values | ${fit.slope.formatted()} | ${fit.intercept.formatted()} | $spread |"
}

private fun FailureMeasurement.toRow(): String {
    val recovery = recoveryMillis?.let { "$it ms" } ?: "not within the limit"
    return "| $failure | $nodes | $lostNodes | $movedPartitions | $recovery | $serviceWrites | $serviceReads | $probes |"
}

private fun Double.formatted(): String =
    when {
        this == 0.0 -> "0"
        kotlin.math.abs(this) >= 100 -> "%,.0f".format(java.util.Locale.ROOT, this)
        else -> "%.3g".format(java.util.Locale.ROOT, this)
    }
