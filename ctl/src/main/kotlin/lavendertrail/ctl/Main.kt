package lavendertrail.ctl

import kotlin.system.exitProcess

/** Entry point of `bin/lavendertrailctl`. */
public fun main(args: Array<String>) {
    System.err.println("usage: lavendertrailctl COMMAND (got '${args.joinToString(" ")}')")
    exitProcess(2)
}
