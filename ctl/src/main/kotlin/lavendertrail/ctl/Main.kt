package lavendertrail.ctl

import lavendertrail.experiment.experimentCommand
import lavendertrail.load.loadCommand
import lavendertrail.why.WhyCommand
import kotlin.system.exitProcess

/** Entry point of `bin/lavendertrailctl`. */
public fun main(args: Array<String>) {
    exitProcess(runCtl(args.toList(), Console()))
}

/** Commands outside the [Command] classes: they parse their own arguments and return the exit code. */
private val standaloneCommands: Map<String, (Array<String>) -> Int> =
    mapOf(
        "load" to ::loadCommand,
        "experiment" to ::experimentCommand,
    )

private fun commands(): List<Command> =
    configCommands() + billCommands() + programCommands() + fleetCommands() + listOf(CapacityCommand(), WhyCommand())

/** Runs one command and returns the exit code of the process. */
internal fun runCtl(
    args: List<String>,
    console: Console,
): Int {
    val known = commands()
    if (args.firstOrNull() in listOf("--help", "-h", "help")) return printHelp(known, console)
    standaloneCommands[args.firstOrNull()]?.let { return it(args.drop(1).toTypedArray()) }
    val command = known.find { it.name == args.take(2).joinToString(" ") } ?: known.find { it.name == args.firstOrNull() }
    return when {
        command != null -> runCommand(command, args.drop(command.name.split(' ').size), console)
        args.size > 1 && args[1] in listOf("--help", "-h") -> printHelp(known.filter { it.name.startsWith("${args[0]} ") }, console)
        else -> printUnknownCommand(args, known, console)
    }
}

private fun runCommand(
    command: Command,
    args: List<String>,
    console: Console,
): Int =
    try {
        command.run(args, console)
        EXIT_OK
    } catch (e: CommandExit) {
        if (e.code == EXIT_OK) console.out.println(e.message) else console.err.println("lavendertrailctl: ${e.message}")
        e.code
    }

private fun printHelp(
    shown: List<Command>,
    console: Console,
): Int {
    console.out.println("usage: lavendertrailctl COMMAND [OPTIONS]; each command has --help")
    shown.forEach { console.out.println("  %-18s %s".format(it.name, it.description)) }
    if (shown.size > 1) standaloneCommands.keys.forEach { console.out.println("  $it") }
    return EXIT_OK
}

private fun printUnknownCommand(
    args: List<String>,
    known: List<Command>,
    console: Console,
): Int {
    val given = args.take(2).joinToString(" ").ifEmpty { "nothing" }
    val names = (known.map { it.name.substringBefore(' ') } + standaloneCommands.keys).distinct().joinToString(", ")
    console.err.println("lavendertrailctl: expected a command, one of $names, or --help; got '$given'")
    return EXIT_USAGE
}
