package lavendertrail.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Files
import java.nio.file.Path

/** One command of `lavendertrailctl`. [name] has one word or two, such as `config get`. An instance runs once. */
internal abstract class Command(
    val name: String,
    val description: String,
) {
    protected val parser = ArgParser("lavendertrailctl $name")

    /** Ends normally for exit code 0, else with a [CommandEnd]. */
    protected abstract fun execute(console: Console)

    fun run(
        args: List<String>,
        console: Console,
    ) {
        parser.endWithoutExit()
        parser.parse(args.toTypedArray())
        execute(console)
    }
}

/** A positional argument. The parser would take a misspelt option for one, and so run the command without it. */
internal object Word : ArgType<String>(true) {
    override val description: kotlin.String get() = "{ String }"

    override fun convert(
        value: kotlin.String,
        name: kotlin.String,
    ): kotlin.String = if (value.startsWith("-")) throw usageError("option $value is not known") else value
}

/** A command that talks to nodes. It is given one node and finds the others by that node's dump. */
internal abstract class NodeCommand(
    name: String,
    description: String,
) : Command(name, description) {
    private val node by parser.option(ArgType.String, "node", description = "API address ip:port of any node, or LAVENDERTRAIL_NODE")
    private val tokenFile by
        parser.option(ArgType.String, "token-file", description = "File with the operator's token, or the token in LAVENDERTRAIL_TOKEN")
    private val tls by
        parser
            .option(
                ArgType.Boolean,
                "tls",
                description = "Use HTTPS; the JVM's trust store decides which certificates are valid",
            ).default(false)
    protected val json by parser.option(ArgType.Boolean, "json", description = "Machine-readable output").default(false)

    protected abstract fun execute(
        console: Console,
        client: AdminClient,
    )

    override fun execute(console: Console) {
        val address = node ?: console.environment["LAVENDERTRAIL_NODE"] ?: throw usageError("--node ip:port is missing")
        if (!ADDRESS.matches(address)) throw usageError("--node must be ip:port, was '$address'")
        execute(console, AdminClient(address, token(console), console.http, if (tls) "https" else "http"))
    }

    private fun token(console: Console): String {
        val file =
            tokenFile
                ?: return console.environment["LAVENDERTRAIL_TOKEN"] ?: throw usageError("--token-file or LAVENDERTRAIL_TOKEN is missing")
        return readFile(file).trim()
    }

    private companion object {
        val ADDRESS = Regex("[^\\s/:]+:\\d{1,5}|\\[[0-9a-fA-F:]+]:\\d{1,5}")
    }
}

internal fun readFile(file: String): String =
    try {
        Files.readString(Path.of(file))
    } catch (e: java.io.IOException) {
        throw CommandEnd("file '$file' can't be read: ${e.javaClass.simpleName}")
    }

/**
 * Makes the parser throw a [CommandEnd]. By itself it prints the whole usage and exits with 127, and its hook for that
 * is internal to the library, hence the reflection.
 */
private fun ArgParser.endWithoutExit() {
    val hook: (String, Int) -> Nothing = { message, code ->
        if (code == EXIT_OK) throw CommandEnd(message, EXIT_OK)
        throw usageError(message.lineSequence().first())
    }
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, hook)
}
