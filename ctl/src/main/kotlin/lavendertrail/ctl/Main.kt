package lavendertrail.ctl

import lavendertrail.experiment.experimentCommand
import lavendertrail.load.loadCommand
import kotlin.system.exitProcess

/** Entry point of `bin/lavendertrailctl`. */
public fun main(args: Array<String>) {
    val rest = args.drop(1).toTypedArray()
    exitProcess(
        when (args.firstOrNull()) {
            "load" -> loadCommand(rest)
            "experiment" -> experimentCommand(rest)
            else -> usage(args)
        },
    )
}

private fun usage(args: Array<String>): Int {
    System.err.println("usage: lavendertrailctl COMMAND (got '${args.joinToString(" ")}')")
    return 2
}
