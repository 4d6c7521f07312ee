package lavendertrail.ctl

import lavendertrail.experiment.experimentCommand
import lavendertrail.load.loadCommand
import lavendertrail.why.WhyCommand
import kotlin.system.exitProcess

/** Entry point of `bin/lavendertrailctl`. */
public fun main(args: Array<String>) {
    exitProcess(runCtl(args.toList(), Console()))
}

/** Commands that parse their own arguments and return their exit code. */
private val foreignCommands: Map<String, (Array<String>) -> Int> =
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
    if (args.firstOrNull() in listOf("--help", "-h", "help")) return help(known, console)
    foreignCommands[args.firstOrNull()]?.let { return it(args.drop(1).toTypedArray()) }
    val command = known.find { it.name == args.take(2).joinToString(" ") } ?: known.find { it.name == args.firstOrNull() }
    return when {
        command != null -> run(command, args.drop(command.name.split(' ').size), console)
        args.size > 1 && args[1] in listOf("--help", "-h") -> help(known.filter { it.name.startsWith("${args[0]} ") }, console)
        else -> unknown(args, known, console)
    }
}

private fun run(
    command: Command,
    args: List<String>,
    console: Console,
): Int =
    try {
        command.run(args, console)
        EXIT_OK
    } catch (end: CommandEnd) {
        if (end.code == EXIT_OK) console.out.println(end.message) else console.err.println("lavendertrailctl: ${end.message}")
        end.code
    }

private fun help(
    shown: List<Command>,
    console: Console,
): Int {
    console.out.println("usage: lavendertrailctl COMMAND [OPTIONS]; each command has --help")
    shown.forEach { console.out.println("  %-18s %s".format(it.name, it.description)) }
    if (shown.size > 1) foreignCommands.keys.forEach { console.out.println("  $it") }
    return EXIT_OK
}

private fun unknown(
    args: List<String>,
    known: List<Command>,
    console: Console,
): Int {
    val given = args.take(2).joinToString(" ").ifEmpty { "nothing" }
    val names = (known.map { it.name.substringBefore(' ') } + foreignCommands.keys).distinct().joinToString(", ")
    console.err.println("lavendertrailctl: expected a command, one of $names, or --help; got '$given'")
    return EXIT_USAGE
}
