package lavendertrail.why

import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import lavendertrail.ctl.Command
import lavendertrail.ctl.CommandEnd
import lavendertrail.ctl.Console
import lavendertrail.ctl.Word
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.Path

/** Tells from logs what became of a request or a program, without asking a node. */
internal class WhyCommand : Command("why", "Tell the story of a request or program from logs of several processes") {
    private val id by parser.argument(Word, description = "Id of a request or of a program")
    private val files by parser.argument(ArgType.String, description = "Log files of the processes").vararg()

    override fun execute(console: Console) {
        val lines = mutableListOf<LogLine>()
        var unread = 0
        for (file in files) {
            forEachLine(file) { text -> parseLogLine(text)?.let { lines += it } ?: unread++ }
        }
        if (unread > 0) console.err.println("why: $unread lines are torn or not lavendertrail's, and were passed over")
        val story = tellStory(lines, id)
        if (story.isEmpty()) {
            val reach =
                if (lines.isEmpty()) {
                    "no log line was found"
                } else {
                    "logs reach from ${lines.minOf {
                        it.time
                    }} to ${lines.maxOf { it.time }}"
                }
            throw CommandEnd("no line of ${files.size} files names request or program '$id'; $reach")
        }
        story.forEach(console.out::println)
    }

    private fun forEachLine(
        file: String,
        onLine: (String) -> Unit,
    ) {
        try {
            Files.newBufferedReader(Path.of(file)).use { reader -> reader.forEachLine { if (it.isNotBlank()) onLine(it) } }
        } catch (_: CharacterCodingException) {
            throw CommandEnd("file '$file' is not text in UTF-8")
        } catch (e: IOException) {
            throw CommandEnd("file '$file' can't be read: ${e.javaClass.simpleName}")
        }
    }
}
