package lavendertrail.ctl

import lavendertrail.http.httpClient
import org.http4k.core.HttpHandler
import java.io.PrintStream

internal const val EXIT_OK = 0
internal const val EXIT_FAILED = 1

/** The command line is wrong. */
internal const val EXIT_USAGE = 2

/** Ends a command with [code]; [message] is one line for an error, and the help text for [EXIT_OK]. */
internal class CommandEnd(
    message: String,
    val code: Int = EXIT_FAILED,
) : RuntimeException(message)

internal fun usageError(message: String): CommandEnd = CommandEnd(message, EXIT_USAGE)

/** What a command uses of its process, so that tests run commands in their own. */
internal class Console(
    val out: PrintStream = System.out,
    val err: PrintStream = System.err,
    val environment: Map<String, String> = System.getenv(),
    val http: HttpHandler = httpClient(),
    val clock: () -> Long = System::currentTimeMillis,
)
