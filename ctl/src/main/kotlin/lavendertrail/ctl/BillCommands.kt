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

/** Reads the records of all nodes. Both copies of a journal give the same records, of which one is kept. */
private class BillExport : NodeCommand("bill export", "Write both owners' use without texts to a file") {
    private val owner by parser.option(ArgType.String, "owner", description = "Owner that the export is made for").required()
    private val out by parser.option(ArgType.String, "out", description = "File to write").required()

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val known = ConfigClient(client).list("owner").map { it.name }
        if (owner !in known) throw usageError("--owner must be one of ${known.joinToString(", ")}, was '$owner'")
        val found = mutableMapOf<Pair<String, Int>, HistoryRecord>()
        val silent = mutableListOf<String>()
        for (node in Fleet(client).nodes) {
            try {
                node.client.lines("/v1/admin/bill") { line -> add(found, line, node.node, console) }
            } catch (e: CommandEnd) {
                silent += node.node
                console.err.println("bill: ${e.message}")
            }
        }
        val records = found.values.sortedWith(compareBy({ it.program.value }, { it.sequence }))
        BillFile.write(out, records, BillManifest(OwnerId(owner), console.clock(), BillFile.endsOf(records), silent))
        console.out.println("wrote ${records.size} records of ${records.distinctBy { it.program }.size} programs to $out")
        // Each record has two copies, so the silence of one node loses nothing.
        if (silent.size > 1) throw CommandEnd("the export may lack records: no answer from ${silent.joinToString(", ")}")
        val faults = billOf(records).faults
        if (faults.isNotEmpty()) throw CommandEnd("the export has ${faults.size} faults, first: ${faults.first().message}")
    }

    /** Where two copies differ, the higher epoch is the acknowledged one: a former owner's record was never answered. */
    private fun add(
        found: MutableMap<Pair<String, Int>, HistoryRecord>,
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
        val known = found[key]
        if (known == null || record.epoch > known.epoch) found[key] = record
    }
}

private class BillVerify : Command("bill verify", "Verify an export off line and name changed, missing and doubled records") {
    private val file by parser.argument(Word, "FILE", "File that bill export wrote")

    override fun execute(console: Console) {
        val export = BillFile.read(file)
        val messages = faultsOf(export)
        messages.forEach { console.out.println(it) }
        if (messages.isNotEmpty()) throw CommandEnd("$file: ${messages.size} faults in ${export.records.size} records")
        console.out.println("$file: ${export.records.size} records of ${export.manifest?.ends?.size} programs are sound and complete")
    }
}

internal fun faultsOf(export: BillFile): List<String> {
    val noManifest = if (export.manifest == null) listOf("the manifest is missing, so the end of the file may be too") else emptyList()
    val faults = (billOf(export.records).faults + export.endFaults()).map { it.message }
    return (noManifest + export.badLines + faults + export.textFaults()).distinct()
}

private class BillSum : Command("bill sum", "Sum up an export per program, account and owner") {
    private val file by parser.argument(Word, "FILE", "File that bill export wrote")
    private val json by parser.option(ArgType.Boolean, "json", description = "Machine-readable output").default(false)

    override fun execute(console: Console) {
        val export = BillFile.read(file)
        val bill = billOf(export.records)
        if (json) console.print(prettyJson.encodeToJsonElement(Bill.serializer(), bill)) else print(bill, console)
        val faults = faultsOf(export)
        if (faults.isNotEmpty()) {
            throw CommandEnd(
                "$file has ${faults.size} faults, records with a fault are not summed up; see bill verify",
            )
        }
    }

    private fun print(
        bill: Bill,
        console: Console,
    ) {
        console.out.println(ROW.format("", "prompt", "cached", "generated", "tool calls", "cost micros"))
        bill.lines.forEach { console.row("${it.program} ${it.account ?: "unknown"}", it.usage) }
        bill.byAccount.forEach { (account, usage) -> console.row("account $account", usage) }
        bill.byOwner.forEach { (owner, usage) -> console.row("owner $owner", usage) }
        console.row("total", bill.total)
    }

    private fun Console.row(
        title: String,
        use: Usage,
    ): Unit = out.println(ROW.format(title, use.promptTokens, use.cachedTokens, use.generatedTokens, use.toolCalls, use.costMicros))

    private companion object {
        const val ROW = "%-56s %12s %12s %12s %12s %14s"
    }
}
