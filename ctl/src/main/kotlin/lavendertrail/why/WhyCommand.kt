package lavendertrail.why

import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import lavendertrail.ctl.Command
import lavendertrail.ctl.CommandExit
import lavendertrail.ctl.Console
import lavendertrail.ctl.PositionalString
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.Path

/** Shows what happened to a request or program, from log files alone and without a call to any node. */
internal class WhyCommand : Command("why", "Show what happened to a request or program, from the logs of several processes") {
    private val id by parser.argument(PositionalString, description = "Id of a request or of a program")
    private val files by parser.argument(ArgType.String, description = "Log files of the processes").vararg()

    override fun execute(console: Console) {
        val lines = mutableListOf<LogLine>()
        var skippedLines = 0
        for (file in files) {
            forEachLine(file) { text -> parseLogLine(text)?.let { lines += it } ?: skippedLines++ }
        }
        if (skippedLines > 0) console.err.println("why: $skippedLines lines are torn or not lavendertrail's, and were passed over")
        val timeline = requestTimeline(lines, id)
        if (timeline.isEmpty()) {
            val logRange =
                if (lines.isEmpty()) {
                    "no log line was found"
                } else {
                    "logs reach from ${lines.minOf {
                        it.time
                    }} to ${lines.maxOf { it.time }}"
                }
            throw CommandExit("no line of ${files.size} files names request or program '$id'; $logRange")
        }
        timeline.forEach(console.out::println)
    }

    private fun forEachLine(
        file: String,
        onLine: (String) -> Unit,
    ) {
        try {
            Files.newBufferedReader(Path.of(file)).use { reader -> reader.forEachLine { if (it.isNotBlank()) onLine(it) } }
        } catch (_: CharacterCodingException) {
            throw CommandExit("file '$file' is not UTF-8 text")
        } catch (e: IOException) {
            throw CommandExit("file '$file' can't be read: ${e.javaClass.simpleName}")
        }
    }
}
