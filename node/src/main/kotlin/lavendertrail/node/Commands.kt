package lavendertrail.node

import com.github.michaelbull.result.fold
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import lavendertrail.dev.DevCluster
import lavendertrail.dev.DevConsole
import lavendertrail.dev.DevOptions
import lavendertrail.dev.MainJob
import lavendertrail.settings.NodeSettings
import lavendertrail.settings.SettingProblem
import lavendertrail.settings.checkHost
import lavendertrail.settings.readSettings
import java.nio.file.Path
import java.util.concurrent.CountDownLatch

internal const val EXIT_OK = 0
internal const val EXIT_FAILED = 1

/** The command line or the settings are wrong. */
internal const val EXIT_USAGE = 2

/** Runs one command and returns the exit code of the process. */
@OptIn(ExperimentalCli::class)
internal fun runCommand(args: Array<String>): Int {
    val commands = listOf(RunCommand(), CheckCommand(), DevCommand())
    if (args.isEmpty() || args.first() !in commands.map { it.name } + listOf("--help", "-h")) {
        val given = if (args.isEmpty()) "nothing" else "'${args.first()}'"
        System.err.println("lavendertrail: expected a command, one of ${commands.joinToString(", ") { it.name }}, or --help; got $given")
        return EXIT_USAGE
    }
    val parser = ArgParser("lavendertrail")
    parser.subcommands(*commands.toTypedArray())
    (commands + parser).forEach { it.throwOnExit() }
    return try {
        parser.parse(args)
        commands.first { it.name == args.first() }.exitCode
    } catch (exit: ParserExit) {
        val output = if (exit.code == EXIT_OK) System.out else System.err
        output.println(exit.message)
        if (exit.code == EXIT_OK) EXIT_OK else EXIT_USAGE
    }
}

private class ParserExit(
    message: String,
    val code: Int,
) : RuntimeException(message)

/**
 * Makes the parser throw [ParserExit], because kotlinx-cli ends the process by itself, with code 127 on wrong usage. Its hook
 * for that is not public, but has a stable name in the class file. If a later version renames it, the process ends as the
 * library does.
 */
private fun ArgParser.throwOnExit() {
    val throwExit: (String, Int) -> Nothing = { message, code -> throw ParserExit(message, code) }
    try {
        ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, throwExit)
    } catch (_: NoSuchMethodException) {
        return
    }
}

@OptIn(ExperimentalCli::class)
private abstract class Command(
    name: String,
    description: String,
) : Subcommand(name, description) {
    var exitCode = EXIT_OK
        protected set
}

private class RunCommand : Command("run", "Run a node with the settings in FILE until SIGTERM") {
    private val file by argument(ArgType.String, "FILE", "Settings file, JSON with comments")

    override fun execute() {
        exitCode = withSettings(file) { settings -> runNode(settings) }
    }
}

private class CheckCommand : Command("check", "Check the settings in FILE: files exist, ports are free") {
    private val file by argument(ArgType.String, "FILE", "Settings file, JSON with comments")

    override fun execute() {
        exitCode =
            withSettings(file) {
                println("$file: settings are valid")
                EXIT_OK
            }
    }
}

private class DevCommand : Command("dev", "Run several nodes and stand-ins of all external systems in one process") {
    private val once by option(ArgType.Boolean, "once", description = "Run the main job, check its results and exit").default(false)
    private val nodes by option(ArgType.Int, "nodes", description = "Number of nodes").default(DEFAULT_NODES)
    private val port by option(ArgType.Int, "port", description = "API port of the first node; 0 takes free ports").default(0)

    override fun execute() {
        if (nodes !in 1..MAX_NODES || port !in 0..MAX_FIRST_PORT) {
            System.err.println("lavendertrail: --nodes must be in 1..$MAX_NODES and --port in 0..$MAX_FIRST_PORT; got $nodes and $port")
            exitCode = EXIT_USAGE
            return
        }
        exitCode = DevCluster(DevOptions(nodes = nodes, firstApiPort = port)).use { if (once) runOnce(it) else serve(it) }
    }

    private companion object {
        const val DEFAULT_NODES = 3
        const val MAX_NODES = 32
        const val MAX_FIRST_PORT = 65_000
    }
}

private fun withSettings(
    file: String,
    use: (NodeSettings) -> Int,
): Int =
    readSettings(Path.of(file)).fold(
        { settings ->
            val problems = checkHost(settings)
            if (problems.isEmpty()) use(settings) else reportProblems(file, problems)
        },
        { problems -> reportProblems(file, problems) },
    )

private fun reportProblems(
    file: String,
    problems: List<SettingProblem>,
): Int {
    problems.forEach { System.err.println("$file: $it") }
    return EXIT_USAGE
}

/**
 * Runs until SIGTERM. The JVM waits for the shutdown hook, which drains the node and then sets the exit code: without it the
 * JVM would exit with 143 whether or not requests were cut off.
 */
private fun runNode(settings: NodeSettings): Int {
    configureLogs(settings.log)
    val node = Node(settings, httpPlatform(settings.platform))
    val drain = { Runtime.getRuntime().halt(if (node.drain()) EXIT_OK else EXIT_FAILED) }
    Runtime.getRuntime().addShutdownHook(Thread(drain, "shutdown"))
    node.start()
    CountDownLatch(1).await()
    return EXIT_OK
}

private fun runOnce(cluster: DevCluster): Int {
    cluster.start()
    return if (MainJob(cluster, ::println).run()) EXIT_OK else EXIT_FAILED
}

private fun serve(cluster: DevCluster): Int {
    cluster.start()
    val address = cluster.addresses.first()
    println("nodes: ${cluster.addresses.joinToString(", ")}")
    println("operator token: ${DevCluster.DEV_OPERATOR_TOKEN}")
    println("try:")
    println(
        "  curl -s http://$address/v1/programs -H 'Authorization: Bearer barakah-desk-token' " +
            "-d '{\"account\":\"barakah-desk\",\"assistant\":\"permit-renewal\"}'",
    )
    println("commands on standard input: kill N, stop N, start N, replace N, quit")
    if (!DevConsole(cluster, ::println).serve(System.`in`.bufferedReader())) CountDownLatch(1).await()
    return EXIT_OK
}
