package lavendertrail.dev

import java.io.BufferedReader

/**
 * Reads commands for a running [DevCluster], one per line: `kill N`, `stop N`, `start N`, `replace N` and `quit`, where node
 * numbers start at 1. Each command is answered with one line that starts with `ok` or `error`.
 */
internal class DevConsole(
    private val cluster: DevCluster,
    private val print: (String) -> Unit,
) {
    /** Returns true after `quit` and false at the end of the input. */
    fun serve(input: BufferedReader): Boolean {
        while (true) {
            val line = input.readLine()?.trim() ?: return false
            if (line == "quit") return true
            if (line.isNotEmpty()) print(answer(line))
        }
    }

    private fun answer(line: String): String {
        val command = line.substringBefore(' ')
        val index = (line.substringAfter(' ', "").trim().toIntOrNull() ?: 0) - 1
        return try {
            run(command, index)
            "ok $line"
        } catch (e: IllegalArgumentException) {
            "error $line: ${e.message}"
        } catch (e: IllegalStateException) {
            "error $line: ${e.message}"
        } catch (e: IndexOutOfBoundsException) {
            "error $line: there is no node ${index + 1}"
        }
    }

    private fun run(
        command: String,
        index: Int,
    ): Unit =
        when (command) {
            "kill" -> cluster.kill(index)
            "stop" -> check(cluster.stop(index)) { "node ${index + 1} did not drain" }
            "start" -> start(index)
            "replace" -> replace(index)
            else -> throw IllegalArgumentException("expected kill, stop, start, replace or quit")
        }

    private fun replace(index: Int) {
        check(cluster.stop(index)) { "node ${index + 1} did not drain" }
        start(index)
    }

    private fun start(index: Int) {
        cluster.restart(index)
        check(cluster.awaitSettled(SETTLE_LIMIT_MILLIS)) { "partitions did not settle within $SETTLE_LIMIT_MILLIS ms" }
    }

    private companion object {
        const val SETTLE_LIMIT_MILLIS = 30_000L
    }
}
