package lavendertrail.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.Json
import lavendertrail.capacity.CapacityReport
import lavendertrail.capacity.measureCapacity
import lavendertrail.capacity.toMarkdown
import java.nio.file.Files
import java.nio.file.Path

/** Runs the capacity measurements and writes the report as Markdown and JSON. */
internal class CapacityCommand(
    private val measure: ((String) -> Unit) -> CapacityReport = ::measureCapacity,
) : Command("capacity", "Measure the cost of decisions, control traffic and failures by size") {
    private val out by parser.option(ArgType.String, "out", description = "Folder for capacity.md and capacity.json").default(".")

    override fun execute(console: Console) {
        val folder = Path.of(out)
        try {
            Files.createDirectories(folder)
        } catch (e: java.io.IOException) {
            throw CommandExit("folder '$out' can't be created: ${e.javaClass.simpleName}")
        }
        val report = measure { console.err.println("capacity: measuring $it") }
        Files.writeString(folder.resolve("capacity.md"), report.toMarkdown())
        Files.writeString(folder.resolve("capacity.json"), prettyJson.encodeToString(CapacityReport.serializer(), report) + "\n")
        console.out.println("wrote ${folder.resolve("capacity.md")} and ${folder.resolve("capacity.json")}")
    }

    private companion object {
        val prettyJson = Json { prettyPrint = true }
    }
}
