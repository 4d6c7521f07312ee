package lavendertrail.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import lavendertrail.bill.Bill
import lavendertrail.bill.billOf
import lavendertrail.history.HistoryRecord
import lavendertrail.model.OwnerId
import lavendertrail.model.Usage

internal fun billCommands(): List<Command> = listOf(BillExport(), BillVerify(), BillSum())

/**
 * Collects the history records of all nodes. Each record is in both copies of its partition's journal; the export contains
 * it once.
 */
private class BillExport : NodeCommand("bill export", "Export the usage records of both owners, without message contents, to a file") {
    private val owner by parser.option(ArgType.String, "owner", description = "Owner that receives the export").required()
    private val out by parser.option(ArgType.String, "out", description = "Path of the export file").required()

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val owners = ConfigClient(client).list("owner").map { it.name }
        if (owner !in owners) throw usageError("--owner must be one of ${owners.joinToString(", ")}, was '$owner'")
        val recordsByPosition = mutableMapOf<Pair<String, Int>, HistoryRecord>()
        val nodesWithoutAnswer = mutableListOf<String>()
        for (node in Fleet(client).nodes) {
            try {
                node.client.streamLines("/v1/admin/bill") { line -> mergeLine(recordsByPosition, line, node.node, console) }
            } catch (e: CommandExit) {
                nodesWithoutAnswer += node.node
                console.err.println("bill: ${e.message}")
            }
        }
        val records = recordsByPosition.values.sortedWith(compareBy({ it.program.value }, { it.sequence }))
        val manifest = BillManifest(OwnerId(owner), console.clock(), BillFile.chainEnds(records), nodesWithoutAnswer)
        BillFile.write(out, records, manifest)
        console.out.println("wrote ${records.size} records of ${records.distinctBy { it.program }.size} programs to $out")
        // Each record has copies at two nodes, so no record is lost while only one node fails to answer.
        if (nodesWithoutAnswer.size > 1) {
            throw CommandExit("the export may lack records: no answer from ${nodesWithoutAnswer.joinToString(", ")}")
        }
        val faults = billOf(records).faults
        if (faults.isNotEmpty()) throw CommandExit("the export has ${faults.size} faults, first: ${faults.first().message}")
    }

    /**
     * Adds the record in [line]. If two copies differ, the one with the higher epoch was acknowledged; the record of a former
     * owner node was never confirmed to a caller.
     */
    private fun mergeLine(
        recordsByPosition: MutableMap<Pair<String, Int>, HistoryRecord>,
        line: String,
        node: String,
        console: Console,
    ) {
        val record = BillFile.parse(line)
        if (record == null) {
            console.err.println("bill: $node: $line")
            return
        }
        val key = record.program.value to record.sequence
        val existing = recordsByPosition[key]
        if (existing == null || record.epoch > existing.epoch) recordsByPosition[key] = record
    }
}

private class BillVerify : Command("bill verify", "Verify an export offline and list changed, missing and duplicate records") {
    private val file by parser.argument(PositionalString, "FILE", "File that bill export wrote")

    override fun execute(console: Console) {
        val export = BillFile.read(file)
        val messages = exportFaults(export)
        messages.forEach { console.out.println(it) }
        if (messages.isNotEmpty()) throw CommandExit("$file: ${messages.size} faults in ${export.records.size} records")
        console.out.println("$file: ${export.records.size} records of ${export.manifest?.ends?.size} programs are sound and complete")
    }
}

/** Messages for all faults of [export]: of its hash chains, manifest, unparsable lines and contents. */
internal fun exportFaults(export: BillFile): List<String> {
    val manifestFaults = if (export.manifest == null) listOf("the manifest is missing, so the end of the file may be too") else emptyList()
    val faults = (billOf(export.records).faults + export.endFaults()).map { it.message }
    return (manifestFaults + export.badLines + faults + export.contentFaults()).distinct()
}

private class BillSum : Command("bill sum", "Sum up an export per program, account and owner") {
    private val file by parser.argument(PositionalString, "FILE", "File that bill export wrote")
    private val json by parser.option(ArgType.Boolean, "json", description = "Machine-readable output").default(false)

    override fun execute(console: Console) {
        val export = BillFile.read(file)
        val bill = billOf(export.records)
        if (json) console.print(prettyJson.encodeToJsonElement(Bill.serializer(), bill)) else printTable(bill, console)
        val faults = exportFaults(export)
        if (faults.isNotEmpty()) {
            throw CommandExit(
                "$file has ${faults.size} faults; records with a fault are left out of the sums; run bill verify for details",
            )
        }
    }

    private fun printTable(
        bill: Bill,
        console: Console,
    ) {
        console.out.println(ROW_FORMAT.format("", "prompt", "cached", "generated", "tool calls", "cost micros"))
        bill.lines.forEach { console.printRow("${it.program} ${it.account ?: "unknown"}", it.usage) }
        bill.byAccount.forEach { (account, usage) -> console.printRow("account $account", usage) }
        bill.byOwner.forEach { (owner, usage) -> console.printRow("owner $owner", usage) }
        console.printRow("total", bill.total)
    }

    private fun Console.printRow(
        title: String,
        usage: Usage,
    ): Unit =
        out.println(
            ROW_FORMAT.format(
                title,
                usage.promptTokens,
                usage.cachedTokens,
                usage.generatedTokens,
                usage.toolCalls,
                usage.costMicros,
            ),
        )

    private companion object {
        const val ROW_FORMAT = "%-56s %12s %12s %12s %12s %14s"
    }
}
