package lavendertrail.ctl

import lavendertrail.http.httpClient
import org.http4k.core.HttpHandler
import java.io.PrintStream

internal const val EXIT_OK = 0
internal const val EXIT_FAILED = 1

/** The command line is invalid. */
internal const val EXIT_USAGE = 2

/** Ends a command with exit code [code]. The message is the help text for [EXIT_OK] and a one-line error otherwise. */
internal class CommandExit(
    message: String,
    val code: Int = EXIT_FAILED,
) : RuntimeException(message)

internal fun usageError(message: String): CommandExit = CommandExit(message, EXIT_USAGE)

/** The process environment of a command: streams, variables, HTTP and clock. Tests replace it to run commands in-process. */
internal class Console(
    val out: PrintStream = System.out,
    val err: PrintStream = System.err,
    val environment: Map<String, String> = System.getenv(),
    val http: HttpHandler = httpClient(),
    val clock: () -> Long = System::currentTimeMillis,
)
