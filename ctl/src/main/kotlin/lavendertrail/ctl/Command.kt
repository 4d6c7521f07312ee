package lavendertrail.ctl

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Files
import java.nio.file.Path

/** A command of `lavendertrailctl`. [name] has one or two words, such as `config get`. An instance can run only once. */
internal abstract class Command(
    val name: String,
    val description: String,
) {
    protected val parser = ArgParser("lavendertrailctl $name")

    /** Returns normally for exit code 0 and throws a [CommandExit] otherwise. */
    protected abstract fun execute(console: Console)

    fun run(
        args: List<String>,
        console: Console,
    ) {
        parser.throwOnTermination()
        parser.parse(args.toTypedArray())
        execute(console)
    }
}

/**
 * The type of positional arguments. It rejects values that start with `-`, because the parser would take a misspelt option
 * for a positional argument and run the command without that option.
 */
internal object PositionalString : ArgType<String>(true) {
    override val description: kotlin.String get() = "{ String }"

    override fun convert(
        value: kotlin.String,
        name: kotlin.String,
    ): kotlin.String = if (value.startsWith("-")) throw usageError("unknown option $value") else value
}

/** A command that calls the admin API of nodes. It gets the address of one node and finds the others in that node's dump. */
internal abstract class NodeCommand(
    name: String,
    description: String,
) : Command(name, description) {
    private val node by
        parser.option(ArgType.String, "node", description = "API address ip:port of any node; defaults to LAVENDERTRAIL_NODE")
    private val tokenFile by
        parser.option(
            ArgType.String,
            "token-file",
            description = "File with the operator's token; defaults to the token in LAVENDERTRAIL_TOKEN",
        )
    private val tls by
        parser
            .option(
                ArgType.Boolean,
                "tls",
                description = "Use HTTPS; certificates are validated against the JVM's trust store",
            ).default(false)
    protected val json by parser.option(ArgType.Boolean, "json", description = "Machine-readable output").default(false)

    protected abstract fun execute(
        console: Console,
        client: AdminClient,
    )

    override fun execute(console: Console) {
        val address =
            node ?: console.environment["LAVENDERTRAIL_NODE"] ?: throw usageError("--node ip:port or LAVENDERTRAIL_NODE is missing")
        if (!ADDRESS.matches(address)) throw usageError("--node must be ip:port, was '$address'")
        execute(console, AdminClient(address, readToken(console), console.http, if (tls) "https" else "http"))
    }

    private fun readToken(console: Console): String {
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
        throw CommandExit("file '$file' can't be read: ${e.javaClass.simpleName}")
    }

/**
 * Makes the parser throw a [CommandExit]. By default it prints the whole usage and exits the process with code 127. The hook
 * that replaces this is internal to kotlinx-cli and is therefore set by reflection.
 */
private fun ArgParser.throwOnTermination() {
    val hook: (String, Int) -> Nothing = { message, code ->
        if (code == EXIT_OK) throw CommandExit(message, EXIT_OK)
        throw usageError(message.lineSequence().first())
    }
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, hook)
}
