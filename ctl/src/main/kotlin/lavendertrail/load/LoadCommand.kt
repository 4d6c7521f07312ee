package lavendertrail.load

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import java.io.File

private val json = Json { prettyPrint = true }

/**
 * The command `lavendertrailctl load`. It compares the cost of calls through a node with that of direct calls. Returns exit code
 * 1 if the target isn't met.
 */
public fun loadCommand(args: Array<String>): Int {
    val defaults = LoadOptions()
    val parser = ArgParser("lavendertrailctl load")
    val streams by parser.option(ArgType.Int, "streams", description = "Number of concurrent streams").default(defaults.streams)
    val rounds by parser.option(ArgType.Int, "rounds", description = "Measured rounds of each kind").default(defaults.rounds)
    val calls by parser.option(ArgType.Int, "calls", description = "Calls per stream and round").default(defaults.callsPerRound)
    val nodes by parser.option(ArgType.Int, "nodes", description = "Number of nodes").default(defaults.nodes)
    val seed by
        parser
            .option(ArgType.Int, "seed", description = "Seed of the random delays and the engine answers")
            .default(defaults.seed.toInt())
    val out by parser.option(ArgType.String, "out", description = "Folder for load.json and load.md").default("target/load")
    parser.parse(args)
    if (minOf(streams, rounds, calls, nodes) < 1) {
        System.err.println("load: --streams, --rounds, --calls and --nodes must be positive; got $streams, $rounds, $calls and $nodes")
        return 2
    }
    val options = LoadOptions(streams, rounds, calls, nodes, seed = seed.toLong())
    val report = LoadRun(options) { System.err.println("load: $it") }.run()
    val folder = File(out).apply { mkdirs() }
    val markdown = report.toMarkdown()
    folder.resolve("load.json").writeText(json.encodeToString(LoadReport.serializer(), report) + "\n")
    folder.resolve("load.md").writeText(markdown)
    println(markdown)
    return if (report.targetMet) 0 else 1
}

internal fun LoadReport.toMarkdown(): String =
    buildString {
        appendLine(
            "$streams streams, $rounds rounds of each kind, $nodes nodes, $answerTokens tokens per answer at $tokensPerSecond tokens/s.",
        )
        appendLine()
        appendLine("| measure | direct | through a node | added | ratio |")
        appendLine("|---|---|---|---|---|")
        appendRow("time to first text p50, ms", direct.first.p50Millis, node.first.p50Millis)
        appendRow("time to first text p95, ms", direct.first.p95Millis, node.first.p95Millis)
        appendRow("total time p50, ms", direct.total.p50Millis, node.total.p50Millis)
        appendRow("total time p95, ms", direct.total.p95Millis, node.total.p95Millis)
        appendRow("gap between pieces p50, ms", direct.gap.p50Millis, node.gap.p50Millis)
        appendRow("gap between pieces p95, ms", direct.gap.p95Millis, node.gap.p95Millis)
        appendRow("pieces within 1 ms of the one before, %", direct.joinedPercent, node.joinedPercent)
        appendRow("requests per second", direct.requestsPerSecond, node.requestsPerSecond)
        appendRow("CPU of the whole process per call, ms", direct.cpuMillisPerCall, node.cpuMillisPerCall)
        appendLine()
        appendLine("Calls counted: ${direct.first.count} direct, ${node.first.count} through a node.")
        appendLine(
            "Time to first text p50 where the entry node owns the program ${ownerIsEntryFirst.p50Millis.formatted()} ms " +
                "(${ownerIsEntryFirst.count} calls), where it forwards ${forwardedFirst.p50Millis.formatted()} ms " +
                "(${forwardedFirst.count} calls).",
        )
        appendLine("CPU of the nodes per call, as the difference: ${nodeCpuMillisPerCall.formatted()} ms.")
        val verdict = if (targetMet) "met" else "not met"
        appendLine(
            "Target of at most $targetAddedMillis ms added in the median of the time to first text: $verdict " +
                "(${addedFirstP50Millis.formatted()} ms).",
        )
    }

private fun StringBuilder.appendRow(
    name: String,
    direct: Double,
    node: Double,
) {
    val ratio = if (direct == 0.0) "-" else (node / direct).formatted()
    appendLine("| $name | ${direct.formatted()} | ${node.formatted()} | ${(node - direct).formatted()} | $ratio |")
}

/** Formats with two decimals, independent of the locale. */
internal fun Double.formatted(): String = "%.2f".format(java.util.Locale.ROOT, this)
